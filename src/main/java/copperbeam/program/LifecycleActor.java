package copperbeam.program;

import copperbeam.lifecycle.Lifecycle;
import copperbeam.lifecycle.Lifecycle.Step;
import copperbeam.routing.Actor;
import copperbeam.routing.ModuleActor;
import copperbeam.routing.ReleaseActor;
import copperbeam.transport.HttpFrontServer;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.logging.Logger;

/** Owns the conductor's {@link Lifecycle} and carries out its steps for drains by operators and for the stop. */
final class LifecycleActor extends Actor<LifecycleActor.Message> implements Handover.ChangeListener {
    sealed interface Message permits SetDrained, Stop, SuccessorChanged, Tick {}

    private record SetDrained(boolean drained, Consumer<Boolean> reply) implements Message {}

    private record Stop() implements Message {}

    private record SuccessorChanged(boolean successorServes) implements Message {}

    private record Tick() implements Message {}

    private static final Logger LOG = Logger.getLogger(LifecycleActor.class.getName());
    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);
    private static final Duration MAX_STOP_TIME = Duration.ofSeconds(60); // a stop ends after this time in any case

    private final Clock clock;
    private final Instant startedAt;
    private final Lifecycle lifecycle;
    private final List<HttpFrontServer> fronts;
    private final ModuleActor module;
    private final ReleaseActor releases;
    private final BooleanSupplier otherConductorsAway;
    private final Consumer<Handover.Beside> onProcessesChanged;
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private Step step = Step.WORK;
    private Instant stopRequestedAt;
    private boolean listening = true;
    private boolean acceptingRequests = true;
    private boolean tickScheduled;
    private volatile boolean healthy = true;
    private volatile boolean stopping;

    LifecycleActor(
            ScheduledExecutorService scheduler,
            Clock clock,
            Lifecycle lifecycle,
            List<HttpFrontServer> fronts,
            ModuleActor module,
            ReleaseActor releases,
            BooleanSupplier otherConductorsAway,
            Consumer<Handover.Beside> onProcessesChanged) {
        super(scheduler);
        this.clock = clock;
        startedAt = clock.instant();
        this.lifecycle = lifecycle;
        this.fronts = fronts;
        this.module = module;
        this.releases = releases;
        this.otherConductorsAway = otherConductorsAway;
        this.onProcessesChanged = onProcessesChanged;
    }

    /** Whether health checks should pass: not drained by operators, nor stopping without a successor. Thread-safe. */
    boolean isHealthy() {
        return healthy;
    }

    boolean isStopping() {
        return stopping;
    }

    @Override
    public void drainChanged(boolean drained, Consumer<Boolean> reply) {
        tell(new SetDrained(drained, reply));
    }

    @Override
    public void processesChanged(Handover.Beside beside) {
        onProcessesChanged.accept(beside);
        tell(new SuccessorChanged(beside.succeeded()));
    }

    /**
     * Starts the stop; {@code successorServes}: whether a process started later is serving. The returned future, the same at
     * each call, completes when the process may end.
     */
    CompletableFuture<Void> stop(boolean successorServes) {
        stopping = true;
        healthy &= successorServes; // takes effect at once, without waiting for queued messages
        if (successorServes) {
            tell(new SuccessorChanged(true));
        }
        tell(new Stop());
        return ended;
    }

    @Override
    protected void receive(Message message) {
        try {
            handle(message);
        } finally {
            if (lifecycle.isStopping() && !ended.isDone()) {
                scheduleTick(); // also after a failure: without further ticks the stop would last until the kill
            }
        }
    }

    private void handle(Message message) {
        Duration now = Duration.between(startedAt, clock.instant());
        if (message instanceof SetDrained e) {
            boolean accepted = e.drained() ? lifecycle.drain(now) : lifecycle.rejoin();
            advance();
            e.reply().accept(accepted);
        } else if (message instanceof Stop) {
            stopRequestedAt = stopRequestedAt == null ? clock.instant() : stopRequestedAt;
            lifecycle.stop(now);
            advance();
        } else if (message instanceof SuccessorChanged e) {
            lifecycle.setSuccessor(e.successorServes());
            advance();
        } else if (message instanceof Tick) {
            tickScheduled = false;
            advance();
        }
    }

    private void advance() {
        if (ended.isDone()) {
            return;
        }
        // a client that has just been answered may have sent its next request already, which would be lost with the
        // process; so the process doesn't end before all connections are closed
        boolean connectionsOpen =
                fronts.stream().anyMatch(f -> !lifecycle.isListening() && f.isListening() || f.hasConnections());
        if (!connectionsOpen && lifecycle.isStopping()) {
            connectionsOpen = !fronts.stream().allMatch(HttpFrontServer::pauseReading);
        }
        Step dueStep = lifecycle.advanceTo(
                Duration.between(startedAt, clock.instant()), connectionsOpen, otherConductorsAway.getAsBoolean());
        boolean overdue = stopRequestedAt != null
                && Duration.between(stopRequestedAt, clock.instant()).compareTo(MAX_STOP_TIME) > 0;
        Step nextStep = overdue ? Step.END : dueStep;
        healthy = lifecycle.isHealthy();
        boolean closesIdle = nextStep.compareTo(Step.LEAD_AWAY) >= 0;
        fronts.forEach(f -> f.setDraining(nextStep != Step.WORK));
        fronts.forEach(f -> f.setClosingIdle(closesIdle));
        setListening(lifecycle.isListening());
        if (acceptingRequests && !lifecycle.acceptsRequests(Duration.between(startedAt, clock.instant()))) {
            acceptingRequests = false;
            module.tell(new ModuleActor.StopAccepting());
        }
        for (Step passedStep : Step.values()) {
            if (passedStep.compareTo(step) > 0 && passedStep.compareTo(nextStep) <= 0) {
                if (passedStep == Step.ANSWER) {
                    fronts.forEach(HttpFrontServer::stopListeningNow);
                    module.tell(new ModuleActor.ExpireOpenRequests());
                } else if (passedStep == Step.CUT) {
                    module.tell(new ModuleActor.TransferStreams());
                }
            }
        }
        boolean mustExit = step == Step.END && lifecycle.mustExit(Duration.between(startedAt, clock.instant()));
        if (mustExit) {
            LOG.info("lifecycle: exits before the kill; servers have not confirmed all releases yet");
        }
        if (overdue || mustExit) {
            ended.complete(null);
        } else if (nextStep == Step.END && step != Step.END) {
            // nothing new can arrive, so once open requests and then releases have ended, nothing is left
            module.tell(new ModuleActor.Drain(() -> releases.tell(new ReleaseActor.Drain(() -> ended.complete(null)))));
        }
        if (nextStep != step) {
            LOG.info("lifecycle: " + step + " -> " + nextStep
                    + (connectionsOpen ? ", clients are connected" : ", no client is connected"));
        }
        step = nextStep;
        if (step != Step.END) {
            fronts.forEach(HttpFrontServer::resumeReading);
        }
        if (step != Step.WORK || !listening) {
            scheduleTick();
        }
    }

    private void setListening(boolean wanted) {
        if (listening && !wanted) {
            fronts.forEach(HttpFrontServer::stopListening);
            listening = false;
        } else if (!listening && wanted) {
            listening = fronts.stream().allMatch(HttpFrontServer::listenAgain);
        }
    }

    private void scheduleTick() {
        if (!tickScheduled) {
            tickScheduled = true;
            tellLater(TICK_INTERVAL, new Tick());
        }
    }
}
