package copperbeam.program;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.logging.Logger;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Reloads the configuration on SIGHUP, without interrupting requests. */
final class Reload {
    /** Reads and checks the whole configuration. */
    interface Source {
        Config read() throws Config.Invalid;
    }

    private static final Logger LOG = Logger.getLogger(Reload.class.getName());

    private final CompletableFuture<Source> source = new CompletableFuture<>();
    private final CompletableFuture<Node> runningNode = new CompletableFuture<>();

    private Reload() {}

    /**
     * Installs the handler for SIGHUP. Must be called first at a start, as the JVM's own handler ends the process. Signals
     * are handled one after another, and those before {@link #start} once it is called, so the last version of the file
     * counts.
     */
    static Reload onHangup() {
        Reload reload = new Reload();
        ExecutorService executor = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "reload");
            thread.setDaemon(true);
            return thread;
        });
        SignalHandler previousHandler = Signal.handle(
                new Signal("HUP"),
                signal -> executor.execute(() -> reload(reload.source.join(), reload.runningNode.join())));
        if (previousHandler == SignalHandler.SIG_IGN) {
            // the JVM installs no handler for a signal that its parent process set to be ignored, and doesn't report it
            LOG.warning(
                    "SIGHUP is ignored, as set by the parent process (nohup does so): the configuration can't be reloaded");
        }
        return reload;
    }

    /** Sets where signals, including those received already, read the configuration from, and which node gets it. */
    void start(Source configuration, Node node) {
        source.complete(configuration);
        runningNode.complete(node);
    }

    /** Reads the configuration and applies it to the node; an invalid one changes nothing. */
    static void reload(Source source, Node node) {
        try {
            node.reload(source.read());
            LOG.info("configuration read anew");
        } catch (Config.Invalid e) {
            LOG.warning("the new configuration is not taken, the old one stays: " + e.getMessage());
        } catch (RuntimeException
                | Error e) { // an Error too: it would end the thread, and leave the signal without a word
            LOG.warning("the new configuration is not taken, the old one stays: " + e);
        }
    }
}
