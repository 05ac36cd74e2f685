package copperbeam.soak;

/** Starts daemon threads, which don't keep the JVM alive. */
final class Daemon {
    /** The body of a thread; an exception ends the thread. */
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
                        return; // the peer closed the connection or the run is over
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
