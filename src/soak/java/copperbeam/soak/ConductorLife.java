package copperbeam.soak;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/** Starts, stops, kills and upgrades one conductor during a run, as the platform does, and notes what its processes did. */
final class ConductorLife {
    private static final long READY_MS = 10_000;
    private static final long LAST_NEW_MS = 300; // after SIGTERM; so long new connections keep coming
    private static final int SIGNAL_PAUSE_MS = 200; // within a stop

    private final ConductorProcess conductor;
    private final SoakSite site;
    private final long killMs;
    private final AtomicBoolean changing = new AtomicBoolean(); // it is stopped or started now

    /** {@code killMs}: from SIGTERM to SIGKILL. */
    ConductorLife(ConductorProcess conductor, SoakSite site, long killMs) {
        this.conductor = conductor;
        this.site = site;
        this.killMs = killMs;
    }

    /** Whether it is stopped or started now. */
    boolean changing() {
        return changing.get();
    }

    /** Carries the trouble out, unless another one stops or starts this conductor already. */
    void renew(TroublePlan.Trouble trouble) throws IOException, InterruptedException {
        if (!changing.compareAndSet(false, true)) {
            return;
        }
        if (trouble.kind() == TroublePlan.Kind.CONDUCTOR_UPGRADED && conductor.operated()) {
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
        conductor.takesClients(false);
        Thread.sleep(downMs);
    }

    private void restart() throws IOException, InterruptedException {
        Daemon.start("front", () -> {
            Thread.sleep(LAST_NEW_MS);
            conductor.takesClients(false);
        });
        stop(conductor.process());
        Thread.sleep(LAST_NEW_MS);
        startAgain();
    }

    private void startAgain() throws IOException, InterruptedException {
        conductor.configure(site.agent(conductor).host());
        conductor.start();
        awaitReady();
        conductor.takesClients(true);
    }

    private void awaitReady() throws InterruptedException {
        long passed = conductor.awaitReady(SoakSite.START_MS);
        if (passed < 0 || passed > READY_MS) {
            site.history.add(new Observation.NotReady(
                    System.nanoTime(), conductor.name, passed < 0 ? SoakSite.START_MS : passed));
        }
    }

    /** Ends the process that runs now. */
    void stop() throws IOException, InterruptedException {
        stop(conductor.process());
    }

    private void stop(Process which) throws IOException, InterruptedException {
        boolean lived = which.isAlive();
        long began = System.nanoTime();
        ConductorProcess.signal(which, "TERM");
        Thread more = Daemon.start("signals", () -> signalAgain(which));
        boolean ended = ConductorProcess.awaitEnd(which, killMs);
        more.interrupt();
        if (!ended) {
            site.history.add(new Observation.Overstayed(System.nanoTime(), conductor.name));
            site.history.add(new Observation.Killed(System.nanoTime(), conductor.name));
            which.destroyForcibly().waitFor();
            return;
        }
        long since = (System.nanoTime() - began) / 1_000_000;
        int code = which.exitValue();
        site.history.add(new Observation.Exited(System.nanoTime(), conductor.name, code, lived, since));
    }

    /** Further signals within a stop change nothing of it. */
    private static void signalAgain(Process which) throws IOException, InterruptedException {
        for (String signal : List.of("HUP", "TERM", "HUP", "TERM")) {
            Thread.sleep(SIGNAL_PAUSE_MS);
            if (which.isAlive()) {
                ConductorProcess.signal(which, signal);
            }
        }
    }
}
