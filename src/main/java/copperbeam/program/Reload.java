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

    private Reload() {}

    /**
     * Guards against the JVM's own answer to SIGHUP, which is to end. Signals that come close together are
     * taken one after another, so that the file read last is the one that counts.
     */
    static void onHangup(Source source, CompletableFuture<Node> running) {
        ExecutorService one = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "reload");
            thread.setDaemon(true);
            return thread;
        });
        SignalHandler before =
                Signal.handle(new Signal("HUP"), signal -> one.execute(() -> reload(source, running.join())));
        if (before == SignalHandler.SIG_IGN) {
            // the JVM leaves alone what its parent ignores, and says nothing of it
            LOG.warning("SIGHUP is ignored by whoever started this, as nohup does: no configuration will be read anew");
        }
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
