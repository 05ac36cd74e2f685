package copperbeam.soak;

/** Threads that end with the process. */
final class Daemon {
    /** What a thread does; what it throws ends it. */
    interface Task {
        void run() throws Exception;
    }

    private Daemon() {}

    static Thread start(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (java.io.IOException | InterruptedException e) {
                        return; // the other side or the run has ended it
                    } catch (Exception e) {
                        throw new IllegalStateException(name, e);
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
