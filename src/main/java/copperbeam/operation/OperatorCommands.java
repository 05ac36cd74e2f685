package copperbeam.operation;

import copperbeam.routing.Metrics;
import copperbeam.routing.Metrics.End;
import copperbeam.transport.AdminServer;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.logging.Logger;

/**
 * Handles the commands that operators send to the control address. Queries are answered on the listener's thread from
 * published metrics; a command that changes something is acknowledged once the change has been applied.
 */
public final class OperatorCommands implements AdminServer.CommandHandler {
    private static final Logger LOG = Logger.getLogger(OperatorCommands.class.getName());
    private static final String ACK = "ACK\n";

    private final Metrics metrics;
    private final BooleanSupplier isServing;
    private final SharedControls shared;
    private final BanActor bans;
    private final Executor changeExecutor;

    /** {@code changeExecutor} must be single-threaded: commands that change something run on it one after another. */
    public OperatorCommands(
            Metrics metrics, BooleanSupplier isServing, SharedControls shared, BanActor bans, Executor changeExecutor) {
        this.metrics = metrics;
        this.isServing = isServing;
        this.shared = shared;
        this.bans = bans;
        this.changeExecutor = changeExecutor;
    }

    @Override
    public void call(String line, Consumer<String> reply) {
        String[] words = line.split("\\s+", -1);
        String server = words.length == 2 ? words[1] : null;
        switch (words[0] + (server == null ? "" : " ID") + (words.length > 2 ? " more" : "")) {
            case "PING" -> reply.accept(isServing.getAsBoolean() ? ACK : nak("not ready"));
            case "INFO" -> reply.accept(ACK + formatMetrics(metrics) + "--\n");
            case "DETACH ID" -> setBanned(line, server, true, reply);
            case "ATTACH ID" -> setBanned(line, server, false, reply);
            case "LAMEDUCK" ->
                changeExecutor.execute(() -> shared.setDrained(true, done -> replyDone(line, done, reply)));
            case "REJOIN" ->
                changeExecutor.execute(() -> shared.setDrained(false, done -> replyDone(line, done, reply)));
            default -> reply.accept(nak("no such call"));
        }
    }

    /** Bans the server or lifts its ban. Also accepts banned servers that have left the list meanwhile. */
    private void setBanned(String command, String server, boolean banned, Consumer<String> reply) {
        bans.tell(new BanActor.QueryListed(
                server,
                listed -> changeExecutor.execute(() -> {
                    if (!listed && !shared.isBanned(server)) {
                        reply.accept(nak("no such server"));
                        return;
                    }
                    try {
                        shared.setBanned(server, banned, () -> replyDone(command, true, reply));
                    } catch (IllegalStateException e) {
                        reply.accept(nak(e.getMessage()));
                    }
                })));
    }

    private static void replyDone(String command, boolean accepted, Consumer<String> reply) {
        LOG.info("operators: " + command + (accepted ? "" : ": not while stopping"));
        reply.accept(accepted ? ACK : nak("stopping"));
    }

    private static String nak(String reason) {
        return "NAK " + reason + "\n";
    }

    /** One metric a line: {@code app.NAME:VALUE|c} for counters since the start, {@code |g} for gauges. */
    static String formatMetrics(Metrics metrics) {
        StringBuilder text = new StringBuilder();
        long sends = 0;
        for (String requestClass : metrics.classes()) {
            String name = "transactions." + requestClass + ".";
            appendMetric(text, name + "answered", metrics.count(End.ANSWERED, requestClass), 'c');
            appendMetric(text, name + "deferred", metrics.count(End.DEFERRED, requestClass), 'c');
            appendMetric(text, name + "errored", metrics.count(End.ERRORED, requestClass), 'c');
            appendMetric(text, name + "sends", metrics.sends(requestClass), 'c');
            sends += metrics.sends(requestClass);
        }
        appendMetric(text, "sends", sends, 'c');
        appendMetric(text, "current", metrics.openRequests(), 'g');
        appendMetric(text, "cluster_size", metrics.cluster().size(), 'g');
        appendMetric(text, "cluster_unhealthy", metrics.cluster().avoided(), 'g');
        return text.toString();
    }

    private static void appendMetric(StringBuilder text, String name, long value, char kind) {
        text.append("app.")
                .append(name)
                .append(':')
                .append(value)
                .append('|')
                .append(kind)
                .append('\n');
    }
}
