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
    private static final String YES = "ACK\n";

    private final Metrics metrics;
    private final BooleanSupplier serves;
    private final Shared shared;
    private final BanActor bans;
    private final Executor one;

    /** {@code changeExecutor} must be single-threaded: commands that change something run on it one after another. */
    public OperatorCommands(Metrics metrics, BooleanSupplier serves, Shared shared, BanActor bans, Executor one) {
        this.metrics = metrics;
        this.serves = serves;
        this.shared = shared;
        this.bans = bans;
        this.one = one;
    }

    @Override
    public void call(String line, Consumer<String> reply) {
        String[] words = line.split("\\s+", -1);
        String server = words.length == 2 ? words[1] : null;
        switch (words[0] + (server == null ? "" : " ID") + (words.length > 2 ? " more" : "")) {
            case "PING" -> reply.accept(serves.getAsBoolean() ? YES : no("not ready"));
            case "INFO" -> reply.accept(YES + lines(metrics) + "--\n");
            case "DETACH ID" -> ban(line, server, true, reply);
            case "ATTACH ID" -> ban(line, server, false, reply);
            case "LAMEDUCK" -> one.execute(() -> shared.drain(true, done -> said(line, done, reply)));
            case "REJOIN" -> one.execute(() -> shared.drain(false, done -> said(line, done, reply)));
            default -> reply.accept(no("no such call"));
        }
    }

    /** Also takes banned servers that have left the list meanwhile. */
    private void ban(String call, String server, boolean out, Consumer<String> reply) {
        bans.tell(new BanActor.Listed(
                server,
                listed -> one.execute(() -> {
                    if (!listed && !shared.out(server)) {
                        reply.accept(no("no such server"));
                        return;
                    }
                    try {
                        shared.ban(server, out, () -> said(call, true, reply));
                    } catch (IllegalStateException e) {
                        reply.accept(no(e.getMessage()));
                    }
                })));
    }

    private static void said(String call, boolean done, Consumer<String> reply) {
        LOG.info("operators: " + call + (done ? "" : ": not while stopping"));
        reply.accept(done ? YES : no("stopping"));
    }

    private static String no(String why) {
        return "NAK " + why + "\n";
    }

    /** One metric a line: {@code app.NAME:VALUE|c} for counters since the start, {@code |g} for gauges. */
    static String lines(Metrics metrics) {
        StringBuilder text = new StringBuilder();
        long sends = 0;
        for (String c : metrics.classes()) {
            String name = "transactions." + c + ".";
            line(text, name + "answered", metrics.count(End.ANSWERED, c), 'c');
            line(text, name + "deferred", metrics.count(End.DEFERRED, c), 'c');
            line(text, name + "errored", metrics.count(End.ERRORED, c), 'c');
            line(text, name + "sends", metrics.sends(c), 'c');
            sends += metrics.sends(c);
        }
        line(text, "sends", sends, 'c');
        line(text, "current", metrics.current(), 'g');
        line(text, "cluster_size", metrics.cluster().size(), 'g');
        line(text, "cluster_unhealthy", metrics.cluster().avoided(), 'g');
        return text.toString();
    }

    private static void line(StringBuilder text, String name, long value, char kind) {
        text.append("app.")
                .append(name)
                .append(':')
                .append(value)
                .append('|')
                .append(kind)
                .append('\n');
    }
}
