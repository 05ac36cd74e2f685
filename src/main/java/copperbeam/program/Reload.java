package copperbeam.program;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.logging.Logger;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** What SIGHUP asks for: the configuration is read anew while requests go on. */
final class Reload {
    /** Reads and checks the whole configuration. */
    interface Source {
        Config read() throws Config.Invalid;
    }

    private static final Logger LOG = Logger.getLogger(Reload.class.getName());

    private final CompletableFuture<Source> source = new CompletableFuture<>();
    private final CompletableFuture<Node> running = new CompletableFuture<>();

    private Reload() {}

    /**
     * Guards against the JVM's own answer to SIGHUP, which is to end: to be called first in a start. Signals that come close
     * together, or before {@link #begin}, are taken one after another, so that the file read last is the one that counts.
     */
    static Reload onHangup() {
        Reload reload = new Reload();
        ExecutorService one = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "reload");
            thread.setDaemon(true);
            return thread;
        });
        SignalHandler before = Signal.handle(
                new Signal("HUP"), signal -> one.execute(() -> reload(reload.source.join(), reload.running.join())));
        if (before == SignalHandler.SIG_IGN) {
            // the JVM leaves alone what its parent ignores, and says nothing of it
            LOG.warning("SIGHUP is ignored by whoever started this, as nohup does: no configuration will be read anew");
        }
        return reload;
    }

    /** What the signals that have come, and those to come, are for. */
    void begin(Source configuration, Node node) {
        source.complete(configuration);
        running.complete(node);
    }

    /** A faulty file changes nothing. */
    static void reload(Source source, Node node) {
        try {
            node.reload(source.read());
            LOG.info("configuration read anew");
        } catch (Config.Invalid e) {
            LOG.warning("the new configuration is not taken, the old one stays: " + e.getMessage());
        } catch (RuntimeException e) {
            LOG.warning("the new configuration is not taken, the old one stays: " + e);
        }
    }
}
