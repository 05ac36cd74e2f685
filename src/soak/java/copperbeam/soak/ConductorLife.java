package copperbeam.soak;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/** Starts, stops, kills and upgrades one conductor during a run, as the platform does, and notes how its processes ended. */
final class ConductorLife {
    private static final long READY_LIMIT_MS = 10_000; // the longest time from a start to readiness that breaks no rule
    private static final long NEW_CONNECTIONS_MS = 300; // clients open new connections for this long after SIGTERM
    private static final int SIGNAL_PAUSE_MS = 200; // between further signals to a process that is stopping

    private final ConductorProcess conductor;
    private final SoakSite site;
    private final long killMs;
    private final AtomicBoolean changing = new AtomicBoolean(); // a stop or a start is in progress

    /** {@code killMs}: time from SIGTERM to SIGKILL. */
    ConductorLife(ConductorProcess conductor, SoakSite site, long killMs) {
        this.conductor = conductor;
        this.site = site;
        this.killMs = killMs;
    }

    /** Whether a stop or a start is in progress. */
    boolean changing() {
        return changing.get();
    }

    /** Carries out a trouble that restarts the conductor; does nothing while an earlier one is in progress. */
    void carryOut(TroublePlan.Trouble trouble) throws IOException, InterruptedException {
        if (!changing.compareAndSet(false, true)) {
            return;
        }
        if (trouble.kind() == TroublePlan.Kind.CONDUCTOR_UPGRADED && conductor.hasControl()) {
            upgrade();
        } else if (trouble.kind() == TroublePlan.Kind.CONDUCTOR_KILLED) {
            kill(trouble.lengthMs());
            startAgain();
        } else {
            restart();
        }
        changing.set(false);
    }

    private void upgrade() throws IOException, InterruptedException {
        Process before = conductor.process();
        conductor.start();
        awaitReady();
        stop(before);
    }

    private void kill(long downMs) throws InterruptedException {
        site.history.add(new Observation.Killed(System.nanoTime(), conductor.name));
        conductor.process().destroyForcibly().waitFor();
        conductor.setTakesClients(false);
        Thread.sleep(downMs);
    }

    private void restart() throws IOException, InterruptedException {
        Daemon.start("front", () -> {
            Thread.sleep(NEW_CONNECTIONS_MS);
            conductor.setTakesClients(false);
        });
        stop(conductor.process());
        Thread.sleep(NEW_CONNECTIONS_MS);
        startAgain();
    }

    private void startAgain() throws IOException, InterruptedException {
        conductor.configure(site.agent(conductor).hostAndPort());
        conductor.start();
        awaitReady();
        conductor.setTakesClients(true);
    }

    private void awaitReady() throws InterruptedException {
        long elapsedMs = conductor.awaitReady(SoakSite.START_TIMEOUT_MS);
        if (elapsedMs < 0 || elapsedMs > READY_LIMIT_MS) {
            site.history.add(new Observation.NotReady(
                    System.nanoTime(), conductor.name, elapsedMs < 0 ? SoakSite.START_TIMEOUT_MS : elapsedMs));
        }
    }

    /** Stops the current process: SIGTERM, and SIGKILL if it hasn't exited in time. */
    void stop() throws IOException, InterruptedException {
        stop(conductor.process());
    }

    private void stop(Process process) throws IOException, InterruptedException {
        boolean wasAlive = process.isAlive();
        long startNs = System.nanoTime();
        ConductorProcess.signal(process, "TERM");
        Thread furtherSignals = Daemon.start("signals", () -> signalAgain(process));
        boolean ended = ConductorProcess.awaitEnd(process, killMs);
        furtherSignals.interrupt();
        if (!ended) {
            site.history.add(new Observation.Overstayed(System.nanoTime(), conductor.name, startNs));
            site.history.add(new Observation.Killed(System.nanoTime(), conductor.name));
            process.destroyForcibly().waitFor();
            return;
        }
        long elapsedMs = (System.nanoTime() - startNs) / 1_000_000;
        int code = process.exitValue();
        site.history.add(new Observation.Exited(System.nanoTime(), conductor.name, code, wasAlive, elapsedMs));
    }

    /** Sends further signals to a process that is stopping, which it has to ignore. */
    private static void signalAgain(Process process) throws IOException, InterruptedException {
        for (String signal : List.of("HUP", "TERM", "HUP", "TERM")) {
            Thread.sleep(SIGNAL_PAUSE_MS);
            if (process.isAlive()) {
                ConductorProcess.signal(process, signal);
            }
        }
    }
}
