package copperbeam.soak;

import copperbeam.soak.Observation.Answered;
import copperbeam.soak.Observation.AttemptArrived;
import copperbeam.soak.Observation.ClientGone;
import copperbeam.soak.Observation.Sent;
import copperbeam.soak.Observation.ServerStarted;
import copperbeam.soak.Violation.Rule;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Checks how much is sent to servers that have started together, and that all classes are served meanwhile. The throughput of a
 * warm server is assumed to be the highest request rate in any window, divided by the number of servers of its role.
 */
final class SlowStartJudge {
    private static final double NANOS_PER_S = 1e9;
    private static final int BAD_REQUEST = 400; // the status of an answer
    // below so many requests in a window the bound has a larger margin for chance
    private static final double FEW_REQUESTS = 30;
    private static final int MIN_REQUESTS = 12; // requests of a class from which on its share is significant
    private static final double MIN_RELATIVE_SHARE = 0.5; // of the best-served class's share

    /** How many requests of a class were sent and how many of them were served. */
    private static final class Share {
        private int sent;
        private int served;

        double value() {
            return served / (double) Math.max(1, sent);
        }

        @Override
        public String toString() {
            return served + " of " + sent;
        }
    }

    private record Call(long at, double relativeCost) {}

    private final Oracle.Terms terms;
    private final Oracle.SlowStart rules;
    private final Map<String, Sent> requests = new HashMap<>();
    private final Map<String, Observation> firstEnds =
            new HashMap<>(); // by request: the answer or the client's departure, whichever came first
    private final Map<String, ServerStarted> starts = new HashMap<>();
    private final Map<String, Deque<Call>> recentCalls = new HashMap<>(); // attempts within the last window, by server
    private final List<AttemptArrived> arrivals = new ArrayList<>();
    private final List<Violation> violations = new ArrayList<>();

    SlowStartJudge(Oracle.Terms terms) {
        this.terms = terms;
        rules = terms.slowStart();
    }

    List<Violation> judge(List<Observation> inOrder) {
        inOrder.forEach(this::observe);
        arrivals.forEach(this::judgeArrival);
        starts.values().stream()
                .min(Comparator.comparingLong(ServerStarted::at))
                .ifPresent(this::judgeShares);
        return violations;
    }

    private void observe(Observation observation) {
        if (observation instanceof Sent o) {
            requests.put(o.id(), o);
        } else if (observation instanceof Answered o) {
            firstEnds.putIfAbsent(o.id(), o);
        } else if (observation instanceof ClientGone o) {
            firstEnds.putIfAbsent(o.id(), o);
        } else if (observation instanceof ServerStarted o) {
            starts.put(o.server(), o);
        } else if (observation instanceof AttemptArrived o) {
            arrivals.add(o);
        }
    }

    private void judgeArrival(AttemptArrived arrival) {
        ServerStarted start = starts.get(arrival.server());
        double ageS = start == null ? -1 : (arrival.at() - start.at()) / NANOS_PER_S;
        if (ageS < terms.slackMs() / 1000.0 || ageS > rules.warmWithinS() || !requests.containsKey(arrival.id())) {
            return; // warm, or just started and not all conductors know it yet, or sent by no client
        }
        Deque<Call> window = recentCalls.computeIfAbsent(arrival.server(), server -> new ArrayDeque<>());
        window.add(
                new Call(arrival.at(), relativeCost(requests.get(arrival.id()).kind())));
        while (arrival.at() - window.peek().at > rules.fallS() * NANOS_PER_S) {
            window.poll();
        }
        double sum = window.stream().mapToDouble(Call::relativeCost).sum();
        double bound = boundWithMargin(budget(ageS, start.role()));
        if (sum > bound) {
            violations.add(new Violation(
                    Rule.SLOW_START_EXCEEDED,
                    arrival.server(),
                    String.format(Locale.ROOT, "%.1f requests of mean cost in a window, bound %.1f", sum, bound)));
        }
    }

    /** The cost of a request of this kind, in multiples of the mean of all requests. */
    private double relativeCost(RequestKind kind) {
        double mean = requests.values().stream()
                .mapToInt(sent -> sent.kind().promptTokens(true))
                .average()
                .orElseThrow();
        return kind.promptTokens(true) / mean;
    }

    /** The cost, in mean requests, that may be sent in a window that ends at this age of the server in seconds. */
    private double budget(double ageS, Role role) {
        double serversOfRole =
                starts.values().stream().filter(s -> s.role() == role).count();
        return rules.fallMultiple()
                * maxRatePerS()
                / serversOfRole
                * (capacityUntil(ageS) - capacityUntil(ageS - rules.fallS()));
    }

    /**
     * Guaranteed capacity of a warming server, integrated from its start to this age, in seconds of a warm server. Before the start
     * the integral continues with the capacity at the start.
     */
    private double capacityUntil(double ageS) {
        double warmingS = Math.max(0, Math.min(ageS, rules.warmWithinS()));
        double share = warmingS / rules.warmWithinS();
        return rules.coldFrom() * Math.min(ageS, warmingS) + (1 - rules.coldFrom()) * warmingS * share * share / 3;
    }

    private static double boundWithMargin(double budget) {
        return budget < FEW_REQUESTS ? budget + 3 * Math.sqrt(budget) + 3 : budget + 2 * Math.sqrt(budget) + 2;
    }

    private double maxRatePerS() {
        List<Long> times = requests.values().stream().map(Sent::at).sorted().toList();
        int maxCount = 0;
        int first = 0;
        for (int last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) > rules.fallS() * NANOS_PER_S) {
                first++;
            }
            maxCount = Math.max(maxCount, last - first + 1);
        }
        return maxCount / rules.fallS();
    }

    /** Whether a request with this end shows how its class is served: its client waited, and it was no malformed one. */
    private static boolean countsForItsClass(Observation end) {
        return !(end instanceof ClientGone) && !(end instanceof Answered answer && answer.status() == BAD_REQUEST);
    }

    /** Compares the served shares of classes among the requests whose time from sending to deadline lies within the slow start. */
    private void judgeShares(ServerStarted firstStart) {
        long warmAt = firstStart.at() + (long) (rules.warmWithinS() * NANOS_PER_S);
        Map<RequestKind, Share> shares = new EnumMap<>(RequestKind.class);
        for (Sent sent : requests.values()) {
            boolean duringSlowStart =
                    sent.at() >= firstStart.at() && sent.at() + sent.deadlineMs() * 1_000_000 < warmAt;
            if (duringSlowStart && countsForItsClass(firstEnds.get(sent.id()))) {
                Share share = shares.computeIfAbsent(sent.kind(), kind -> new Share());
                share.sent++;
                share.served += firstEnds.get(sent.id()) instanceof Answered a && a.status() == 200 ? 1 : 0;
            }
        }
        double best = shares.values().stream().mapToDouble(Share::value).max().orElse(0);
        shares.forEach((kind, share) -> {
            if (share.sent >= MIN_REQUESTS && share.value() < MIN_RELATIVE_SHARE * best) {
                violations.add(new Violation(Rule.CLASS_STARVED, kind.requestClass, share + " served: " + shares));
            }
        });
    }
}
