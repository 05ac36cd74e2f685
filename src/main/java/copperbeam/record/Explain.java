package copperbeam.record;

import copperbeam.record.wire.Event;
import copperbeam.record.wire.What;
import java.io.PrintStream;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Prints a recording for people: one request's events, all events, or counts of how requests and attempts ended. */
public final class Explain {
    private final Recording recording;
    private final PrintStream out;

    public Explain(Recording recording, PrintStream out) {
        this.recording = recording;
        this.out = out;
    }

    /**
     * Prints the events of one request, given the id that its client sent or the conductor's own number of it; returns
     * false if the recording has none.
     */
    public boolean request(String id) {
        List<Event> life = recording.requests().entrySet().stream()
                .filter(e -> String.valueOf(e.getKey()).equals(id) || id.equals(id(e.getValue())))
                .map(Map.Entry::getValue)
                .findFirst()
                .orElse(null);
        if (life == null) {
            return false;
        }
        Event arrived = Recording.first(life, What.ARRIVED);
        long from = life.get(0).getAtMicros();
        out.printf(
                Locale.ROOT,
                "request %s, number %d, from %s%n",
                arrived == null ? "(its arrival is lost)" : arrived.getText(),
                life.get(0).getRequest(),
                time(from));
        for (Event e : life) {
            out.printf(
                    Locale.ROOT,
                    "%9.3f ms  %-10s %s%n",
                    (e.getAtMicros() - from) / 1e3,
                    e.getWhat().name().toLowerCase(Locale.ROOT),
                    more(e));
        }
        return true;
    }

    /** Prints counts of how requests ended, by class, reason and last attempt, and of how attempts ended. */
    public void causes() {
        out.printf(
                Locale.ROOT,
                "%s: %d events from %s, %d lost before them%n",
                recording.header().getName(),
                recording.events().size(),
                time(0),
                recording.header().getLost());
        Map<String, long[]> ends = new TreeMap<>();
        Map<String, long[]> attempts = new TreeMap<>();
        recording.requests().values().forEach(life -> {
            count(
                    ends,
                    end(life),
                    life.get(life.size() - 1).getAtMicros() - life.get(0).getAtMicros());
            attempts(life, attempts);
        });
        table("requests: class, end, reason, last attempt", ends);
        table("attempts: role, connection, end", attempts);
    }

    /** Prints one line per event, including events that belong to no request. */
    public void events() {
        recording
                .events()
                .forEach(e -> out.printf(
                        Locale.ROOT,
                        "%s %6d %-10s %s%n",
                        time(e.getAtMicros()),
                        e.getRequest(),
                        e.getWhat().name().toLowerCase(Locale.ROOT),
                        more(e)));
    }

    private static String end(List<Event> life) {
        Event arrived = Recording.first(life, What.ARRIVED);
        Event attempt = Recording.last(life, What.ENDED);
        String requestClass = arrived == null
                ? "?"
                : Recording.word(arrived, 1) + (arrived.getText().endsWith(" rest") ? " (rest)" : "");
        for (Event e : life) {
            switch (e.getWhat()) {
                case REFUSED, FAILED, SERVED, BROKEN, LEFT -> {
                    return String.join(
                            ", ",
                            requestClass,
                            lower(e),
                            e.getText().isEmpty() ? "-" : e.getText(),
                            attempt == null ? "none" : attempt.getText());
                }
                default -> {}
            }
        }
        return requestClass + ", open";
    }

    private static void attempts(List<Event> life, Map<String, long[]> attempts) {
        String role = "?";
        String connection = "none";
        for (Event e : life) {
            switch (e.getWhat()) {
                case ATTEMPT -> {
                    role = e.getText().startsWith("WRITER") ? "write" : "read";
                    connection = "none";
                }
                case CONNECTION -> connection = e.getText();
                case ENDED -> count(attempts, role + ", " + connection + ", " + e.getText(), e.getSpanMicros());
                default -> {}
            }
        }
    }

    private static void count(Map<String, long[]> table, String key, long micros) {
        long[] row = table.computeIfAbsent(key, k -> new long[2]);
        row[0]++;
        row[1] += micros;
    }

    private void table(String title, Map<String, long[]> rows) {
        out.printf("%n%8s %10s  %s%n", "count", "mean ms", title);
        rows.entrySet().stream()
                .sorted(Comparator.comparing((Map.Entry<String, long[]> r) -> -r.getValue()[0]))
                .forEach(r -> out.printf(
                        Locale.ROOT,
                        "%8d %10.1f  %s%n",
                        r.getValue()[0],
                        r.getValue()[1] / 1e3 / r.getValue()[0],
                        r.getKey()));
    }

    private static String lower(Event e) {
        return e.getWhat().name().toLowerCase(Locale.ROOT);
    }

    private static String id(List<Event> life) {
        Event arrived = Recording.first(life, What.ARRIVED);
        return arrived == null ? null : Recording.word(arrived, 0);
    }

    private Instant time(long micros) {
        long at = recording.header().getStartedMicros() + micros;
        return Instant.ofEpochSecond(at / 1_000_000, at % 1_000_000 * 1000);
    }

    private static String more(Event e) {
        boolean ofAttempt = switch (e.getWhat()) {
            case ATTEMPT, CONNECTION, WORD, FIRST, ENDED, CANCEL -> true;
            default -> false;
        };
        return ((ofAttempt ? "attempt " + e.getAttempt() + " " : "")
                        + (e.getServer().isEmpty() ? "" : e.getServer() + " ")
                        + e.getText()
                        + (e.getSpanMicros() == 0
                                ? ""
                                : String.format(Locale.ROOT, " (%.3f ms)", e.getSpanMicros() / 1e3)))
                .strip();
    }
}
