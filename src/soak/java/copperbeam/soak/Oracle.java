package copperbeam.soak;

import copperbeam.soak.Observation.Answered;
import copperbeam.soak.Observation.AttemptArrived;
import copperbeam.soak.Observation.AttemptEnded;
import copperbeam.soak.Observation.AttemptOpened;
import copperbeam.soak.Observation.ClientGone;
import copperbeam.soak.Observation.ClosedUnanswered;
import copperbeam.soak.Observation.CutOffFromAll;
import copperbeam.soak.Observation.DrainAnnounced;
import copperbeam.soak.Observation.DrainEnded;
import copperbeam.soak.Observation.Exited;
import copperbeam.soak.Observation.Killed;
import copperbeam.soak.Observation.NeverAnswered;
import copperbeam.soak.Observation.NotReady;
import copperbeam.soak.Observation.OddStreamBegun;
import copperbeam.soak.Observation.Overstayed;
import copperbeam.soak.Observation.ReadingPaused;
import copperbeam.soak.Observation.ReadingResumed;
import copperbeam.soak.Observation.Sent;
import copperbeam.soak.Observation.SlowStreamDelivered;
import copperbeam.soak.Observation.StateFreed;
import copperbeam.soak.Observation.StateHeld;
import copperbeam.soak.Observation.Streamed;
import copperbeam.soak.Observation.Troubled;
import copperbeam.soak.Violation.Rule;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

/** Checks the protocol's rules against what the stand-ins observed. A pure function from a history to the broken rules. */
final class Oracle {
    private static final long NANOS_PER_MS = 1_000_000;

    /**
     * The limits from the settings, and the tolerance for events that the stand-ins see late. {@code slowStart}: null in runs whose
     * troubles make it impossible to judge how much cold servers are sent.
     */
    record Terms(
            int maxAttempts,
            long releaseMs,
            long keyedWindowMs,
            boolean streamsResume,
            long slackMs,
            SlowStart slowStart) {}

    /** The slow-start settings, for servers that have started recently. */
    record SlowStart(double coldFrom, double warmWithinS, double fallMultiple, double fallS) {}

    private static final long ANSWER_GRACE_MS = 500; // how late after the deadline a final answer may come
    private static final long CLIENT_GONE_GRACE_MS =
            100; // an attempt may still begin this long after its client has gone
    // an attempt may still begin this long after discovery has announced the drain of its server
    private static final long DRAIN_GRACE_MS = 1050;
    private static final long RELEASE_GRACE_MS =
            350; // how much later than the settings' release time a release may come
    // the time announced to a server may exceed the client's remaining time by this
    private static final long DEADLINE_GRACE_MS = 150;
    private static final long MAX_WAIT_MS = 5000; // from the last byte of a stream to its end
    private static final long KILL_NOTICE_MS = 300; // how long a client may take to notice a kill
    // what the kill finds unanswered is lost if it was sent later in the stop than this
    private static final long STOP_ACCEPT_MS = 700;

    private static final class Attempt {
        final AttemptArrived arrived;
        AttemptEnded ended;
        Streamed streamed;
        boolean oddStream; // spoilt or written slowly
        SlowStreamDelivered slowStreamDelivered; // null unless its stream was written slowly

        Attempt(AttemptArrived arrived) {
            this.arrived = arrived;
        }

        long endedAt() {
            return ended == null ? Long.MAX_VALUE : ended.at();
        }

        boolean mayHaveRun() {
            return arrived.role() == Role.WRITER && (ended == null || ended.end() != AttemptEnd.TURNED_AWAY);
        }
    }

    private static final class Request {
        Sent sent;
        ReadingPaused readingPaused; // null: its client reads the answer
        Answered answered;
        ClientGone clientGone;
        final List<Attempt> attempts = new ArrayList<>();
        final List<AttemptOpened> opened = new ArrayList<>();
        final List<Observation> stateChanges = new ArrayList<>(); // StateHeld and StateFreed
        ClosedUnanswered closedUnanswered;
        NeverAnswered neverAnswered;
    }

    private static final Set<TroublePlan.Kind> HARMLESS_TO_STREAMS = EnumSet.of(
            TroublePlan.Kind.CLIENT_CROWD,
            TroublePlan.Kind.RELOAD,
            TroublePlan.Kind.CLOCK_STEP,
            TroublePlan.Kind.DISK,
            TroublePlan.Kind.DISCOVERY);

    private final Terms terms;
    private final Map<String, Request> requests = new TreeMap<>();
    private final Map<Long, Attempt> attempts = new HashMap<>();
    // when discovery announced each drain, by "conductor server"
    private final Map<String, Long> drainAnnouncedAt = new HashMap<>();
    private final List<Killed> kills = new ArrayList<>();
    private final List<Troubled> disturbances = new ArrayList<>(); // beginnings and ends
    private final List<CutOffFromAll> cutOffChanges = new ArrayList<>(); // beginnings and ends, in order of time
    private final List<Violation> violations = new ArrayList<>();
    private long lastObservedAt;

    private Oracle(Terms terms) {
        this.terms = terms;
    }

    /** The violations: first those found on the way through the history, then those of each request, then those of slow start. */
    static List<Violation> judge(List<Observation> inOrder, Terms terms) {
        Oracle oracle = new Oracle(terms);
        inOrder.forEach(oracle::observe);
        oracle.requests.forEach(oracle::judge);
        if (terms.slowStart() != null) {
            oracle.violations.addAll(new SlowStartJudge(terms).judge(inOrder));
        }
        return oracle.violations;
    }

    private Request request(String id) {
        return requests.computeIfAbsent(id, name -> new Request());
    }

    private void observe(Observation observation) {
        lastObservedAt = observation.at();
        if (observation instanceof Sent o) {
            Request request = request(o.id());
            if (!request.attempts.isEmpty() && !isExcused(request)) {
                addViolation(Rule.LOST, o.id(), "its connection was reset though it had been read");
            }
            request.sent = o;
            request.closedUnanswered = null; // the client has sent it again, as the conductor had not read it
        } else if (observation instanceof ReadingPaused o) {
            request(o.id()).readingPaused = o;
        } else if (observation instanceof ReadingResumed o) {
            request(o.id()).readingPaused = null;
        } else if (observation instanceof Answered o) {
            request(o.id()).answered = o;
        } else if (observation instanceof ClosedUnanswered o) {
            request(o.id()).closedUnanswered = o;
        } else if (observation instanceof NeverAnswered o) {
            request(o.id()).neverAnswered = o;
        } else if (observation instanceof ClientGone o) {
            request(o.id()).clientGone = o;
        } else if (observation instanceof AttemptOpened o) {
            observeOpened(o);
        } else if (observation instanceof AttemptArrived o) {
            Attempt attempt = new Attempt(o);
            attempts.put(o.attempt(), attempt);
            request(o.id()).attempts.add(attempt);
        } else if (observation instanceof AttemptEnded o) {
            attempts.get(o.attempt()).ended = o;
        } else if (observation instanceof OddStreamBegun o) {
            attempts.get(o.attempt()).oddStream = true;
        } else if (observation instanceof SlowStreamDelivered o) {
            attempts.get(o.attempt()).slowStreamDelivered = o;
        } else if (observation instanceof Streamed o) {
            attempts.get(o.attempt()).streamed = o;
        } else if (observation instanceof StateHeld o) {
            request(o.id()).stateChanges.add(o);
        } else if (observation instanceof StateFreed o) {
            request(o.id()).stateChanges.add(o);
        } else {
            observeFleet(observation);
        }
    }

    private void observeFleet(Observation observation) {
        if (observation instanceof DrainAnnounced o) {
            drainAnnouncedAt.putIfAbsent(o.conductor() + " " + o.server(), o.at());
        } else if (observation instanceof DrainEnded o) {
            drainAnnouncedAt.keySet().removeIf(name -> name.endsWith(" " + o.server()));
        } else if (observation instanceof CutOffFromAll o) {
            cutOffChanges.add(o);
        } else if (observation instanceof Troubled o
                && !HARMLESS_TO_STREAMS.contains(o.trouble().kind())) {
            disturbances.add(o);
        } else if (observation instanceof Killed o) {
            kills.add(o);
        } else if (observation instanceof Exited o && (!o.requested() || o.code() != 0)) {
            addViolation(
                    Rule.CRASHED,
                    o.conductor(),
                    "exit code " + o.code() + (o.requested() ? " after SIGTERM" : ", not asked to"));
        } else if (observation instanceof Overstayed o && !owesUnreadAnswer(o) && !owesOddStream(o)) {
            addViolation(Rule.OVERSTAYED, o.conductor(), "had not exited when it was killed after SIGTERM");
        } else if (observation instanceof NotReady o) {
            addViolation(Rule.NOT_READY, o.conductor(), "not ready after " + o.afterMs() + " ms");
        }
    }

    /**
     * Whether a client of the process had stopped reading its answer: it gets the rest up to the kill, which loses no request that
     * was sent early in the stop.
     */
    private boolean owesUnreadAnswer(Overstayed overstayed) {
        return requestsSentEarly(overstayed)
                .anyMatch(request -> request.readingPaused != null
                        && request.readingPaused.conductor().equals(overstayed.conductor()));
    }

    /** Whether a writer still spoils or slowly writes a stream for the process, which loses no request that was sent early in the stop. */
    private boolean owesOddStream(Overstayed overstayed) {
        return requestsSentEarly(overstayed)
                .flatMap(request -> request.attempts.stream())
                .anyMatch(attempt -> attempt.oddStream
                        && attempt.ended == null
                        && attempt.arrived.conductor().equals(overstayed.conductor()));
    }

    private Stream<Request> requestsSentEarly(Overstayed overstayed) {
        long lastSentAt = overstayed.signaledAt() + STOP_ACCEPT_MS * NANOS_PER_MS;
        return requests.values().stream().filter(request -> request.sent != null && request.sent.at() < lastSentAt);
    }

    private void observeOpened(AttemptOpened opened) {
        request(opened.id()).opened.add(opened);
        Long announcedAt = drainAnnouncedAt.get(opened.conductor() + " " + opened.server());
        if (announcedAt != null && opened.at() - announcedAt > (DRAIN_GRACE_MS + terms.slackMs()) * NANOS_PER_MS) {
            addViolation(
                    Rule.SENT_TO_DRAINING,
                    opened.id(),
                    opened.server() + " " + formatMs(opened.at() - announcedAt) + " after its drain was announced");
        }
    }

    private void addViolation(Rule rule, String subject, String detail) {
        violations.add(new Violation(rule, subject, detail));
    }

    private static String formatMs(long nanos) {
        return nanos / NANOS_PER_MS + " ms";
    }

    private void judge(String id, Request request) {
        if (request.sent == null) {
            if (!request.attempts.isEmpty()) {
                addViolation(Rule.WRONG_ANSWER, id, "sent to a server, though no client had sent it completely");
            }
            return;
        }
        judgeAnswer(id, request);
        judgeAttempts(id, request);
        if (!isExcused(request)) { // after a kill the operating system still delivers what it has buffered
            judgeLateSends(id, request);
            judgeHolds(id, request);
        }
    }

    /**
     * Whether its conductor was killed before the request was completely answered, or so shortly before it was sent that its client
     * couldn't know.
     */
    private boolean isExcused(Request request) {
        long answeredAt =
                request.answered == null || !request.answered.complete() ? Long.MAX_VALUE : request.answered.at();
        return kills.stream()
                .filter(k -> k.conductor().equals(request.sent.conductor()))
                .anyMatch(k -> k.at() > request.sent.at() - KILL_NOTICE_MS * NANOS_PER_MS && k.at() < answeredAt);
    }

    private void judgeAnswer(String id, Request request) {
        long deadline = request.sent.at() + request.sent.deadlineMs() * NANOS_PER_MS;
        if (request.clientGone != null || isExcused(request)) {
            return;
        }
        if (request.closedUnanswered != null && request.closedUnanswered.wasRead()) {
            addViolation(
                    Rule.LOST,
                    id,
                    "read and closed unanswered " + formatMs(request.closedUnanswered.at() - request.sent.at())
                            + " after it was sent");
        }
        if (request.neverAnswered != null) {
            addViolation(
                    Rule.LOST,
                    id,
                    "no answer " + formatMs(request.neverAnswered.at() - request.sent.at()) + " after it was sent");
        }
        if (request.answered == null) {
            return;
        }
        boolean served = request.answered.status() == 200;
        if (!served && request.answered.at() > deadline + (ANSWER_GRACE_MS + terms.slackMs()) * NANOS_PER_MS) {
            addViolation(
                    Rule.LOST,
                    id,
                    "status " + request.answered.status() + " " + formatMs(request.answered.at() - deadline) + " late");
        }
        if (served) {
            judgeStream(id, request);
        } else if (request.answered.status() == 429 || request.answered.status() == 503) {
            request.attempts.stream()
                    .filter(a -> request.sent.kind() == RequestKind.UNSAFE && a.mayHaveRun())
                    .forEach(a -> addViolation(Rule.REFUSED_AFTER_RUN, id, "at " + a.arrived.server()));
        }
    }

    /** Whether a trouble was under way that may lose what a server has written, or for which a stream may be cut. */
    private boolean wasDisturbed(Request request) {
        return disturbances.stream()
                .filter(begin -> begin.begins() && begin.at() < request.answered.at())
                .anyMatch(begin -> disturbances.stream()
                        .noneMatch(end -> !end.begins()
                                && end.trouble().equals(begin.trouble())
                                && end.at() < request.sent.at()));
    }

    /** When its client, or the conductor from a server that wrote an event slowly, last got a byte of the stream. */
    private static long lastProgressAt(Request request) {
        return request.attempts.stream()
                .filter(a -> a.slowStreamDelivered != null)
                .mapToLong(a -> a.slowStreamDelivered.at())
                .reduce(request.answered.lastByteAt(), Math::max);
    }

    private void judgeStream(String id, Request request) {
        String receivedBody = request.answered.body();
        boolean complete = request.answered.complete();
        boolean producedByServer = request.attempts.stream()
                .filter(a -> a.streamed != null)
                .anyMatch(a -> complete
                        ? a.streamed.complete() && a.streamed.body().equals(receivedBody)
                        : a.streamed.body().startsWith(receivedBody));
        long waitedNs = request.answered.at() - lastProgressAt(request);
        if (!complete && waitedNs > (MAX_WAIT_MS + terms.slackMs()) * NANOS_PER_MS) {
            addViolation(Rule.LEFT_WAITING, id, formatMs(waitedNs) + " after the last byte of its stream");
        }
        boolean cutWhileWriting = !complete
                && !terms.streamsResume()
                && request.attempts.stream()
                        .anyMatch(a -> a.streamed != null && a.ended != null && a.ended.end() == AttemptEnd.GIVEN_UP);
        boolean cutAfterItsEnd = !complete
                && !wasDisturbed(request)
                && request.attempts.stream()
                        .anyMatch(a -> a.streamed != null
                                && a.streamed.complete()
                                && a.ended != null
                                && a.ended.end() == AttemptEnd.SERVED);
        if (cutAfterItsEnd) {
            addViolation(Rule.LOST, id, "its stream was cut though its server had written all of it");
        }
        if (cutWhileWriting) {
            addViolation(Rule.LOST, id, "its stream was cut while its server wrote");
        }
        if (!producedByServer) {
            addViolation(
                    Rule.WRONG_ANSWER,
                    id,
                    (complete ? "whole" : "cut") + ", not what a server produced: " + receivedBody.length());
        }
    }

    private void judgeAttempts(String id, Request request) {
        if (request.attempts.size() > terms.maxAttempts()) {
            addViolation(Rule.TOO_MANY_ATTEMPTS, id, request.attempts.size() + " attempts");
        }
        Attempt previous = null;
        Attempt firstRun = null;
        for (Attempt attempt : request.attempts) {
            if (previous != null && previous.endedAt() > attempt.arrived.at() + terms.slackMs() * NANOS_PER_MS) {
                addViolation(Rule.TWO_AT_ONCE, id, previous.arrived.server() + " and " + attempt.arrived.server());
            }
            if (firstRun != null && attempt.arrived.role() == Role.WRITER && !mayRepeat(request, firstRun, attempt)) {
                addViolation(Rule.REPEATED_RUN, id, firstRun.arrived.server() + ", then " + attempt.arrived.server());
            }
            firstRun = firstRun == null && attempt.mayHaveRun() ? attempt : firstRun;
            previous = attempt;
            long remainingNs = request.sent.at() + request.sent.deadlineMs() * NANOS_PER_MS - attempt.arrived.sentAt();
            if (attempt.arrived.announcedMs() > remainingNs / NANOS_PER_MS + DEADLINE_GRACE_MS + terms.slackMs()) {
                addViolation(
                        Rule.DEADLINE_TOLD,
                        id,
                        attempt.arrived.announcedMs() + " ms announced, " + formatMs(remainingNs) + " left");
            }
        }
    }

    private boolean mayRepeat(Request request, Attempt earlier, Attempt later) {
        return switch (request.sent.kind()) {
            case SAFE -> true;
            case UNSAFE -> false;
            case KEYED ->
                later.arrived.at() - earlier.arrived.at() < (terms.keyedWindowMs() + terms.slackMs()) * NANOS_PER_MS;
        };
    }

    /** An attempt begins when its last byte arrives at the server; an attempt that was given up before that doesn't count. */
    private void judgeLateSends(String id, Request request) {
        for (Attempt attempt : request.attempts) {
            if (request.answered != null
                    && attempt.arrived.at() > request.answered.at() + terms.slackMs() * NANOS_PER_MS) {
                addViolation(
                        Rule.SENT_AFTER_END,
                        id,
                        attempt.arrived.server() + " " + formatMs(attempt.arrived.at() - request.answered.at())
                                + " after");
            }
            if (request.clientGone != null
                    && attempt.arrived.at()
                            > request.clientGone.at() + (CLIENT_GONE_GRACE_MS + terms.slackMs()) * NANOS_PER_MS) {
                addViolation(
                        Rule.SENT_AFTER_CLIENT_LEFT,
                        id,
                        attempt.arrived.server() + " " + formatMs(attempt.arrived.at() - request.clientGone.at())
                                + " after");
            }
        }
    }

    /** The time allowed for releasing a read state runs only while no attempt is in flight, from the end of the latest attempt. */
    private void judgeHolds(String id, Request request) {
        long heldSince = -1;
        for (Observation change : request.stateChanges) {
            if (change instanceof StateHeld) {
                heldSince = heldSince < 0 ? change.at() : heldSince;
            } else if (heldSince >= 0) {
                judgeHoldTime(id, request, heldSince, change.at());
                heldSince = -1;
            }
        }
        if (heldSince >= 0) {
            judgeHoldTime(id, request, heldSince, lastObservedAt);
        }
    }

    private void judgeHoldTime(String id, Request request, long from, long to) {
        long idleSince = from;
        for (Attempt attempt : request.attempts) {
            if (attempt.endedAt() > from && attempt.arrived.at() < to) {
                judgeIdleTime(id, request, idleSince, Math.min(attempt.arrived.at(), to));
                idleSince = Math.max(idleSince, attempt.endedAt());
            }
        }
        judgeIdleTime(id, request, idleSince, to);
    }

    /**
     * Doesn't count the time in which the conductor could reach no server, nor the time after it was killed: it can't release
     * anything then.
     */
    private void judgeIdleTime(String id, Request request, long from, long to) {
        long until = Math.min(to, killTimeAfter(from, request.sent.conductor()));
        long ableNs = until - from - cutOffTimeNs(request.sent.conductor(), from, until);
        if (ableNs > (terms.releaseMs() + RELEASE_GRACE_MS + terms.slackMs()) * NANOS_PER_MS) {
            addViolation(Rule.PINNED, id, "held for " + formatMs(until - from));
        }
    }

    private long killTimeAfter(long from, String conductor) {
        return kills.stream()
                .filter(kill -> kill.conductor().equals(conductor) && kill.at() > from)
                .mapToLong(Killed::at)
                .findFirst()
                .orElse(Long.MAX_VALUE);
    }

    private long cutOffTimeNs(String conductor, long from, long to) {
        long sumNs = 0;
        long since = -1;
        for (CutOffFromAll cut : cutOffChanges) {
            if (!cut.conductor().equals(conductor)) {
                continue;
            }
            if (cut.begins()) {
                since = since < 0 ? cut.at() : since;
            } else if (since >= 0) {
                sumNs += Math.max(0, Math.min(to, cut.at()) - Math.max(from, since));
                since = -1;
            }
        }
        return sumNs;
    }
}
