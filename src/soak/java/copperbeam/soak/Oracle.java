package copperbeam.soak;

import copperbeam.soak.Observation.Answered;
import copperbeam.soak.Observation.AttemptArrived;
import copperbeam.soak.Observation.AttemptEnded;
import copperbeam.soak.Observation.AttemptOpened;
import copperbeam.soak.Observation.ClientGone;
import copperbeam.soak.Observation.ClosedUnanswered;
import copperbeam.soak.Observation.CutOffFromAll;
import copperbeam.soak.Observation.DrainEnded;
import copperbeam.soak.Observation.DrainTold;
import copperbeam.soak.Observation.Exited;
import copperbeam.soak.Observation.Killed;
import copperbeam.soak.Observation.NeverAnswered;
import copperbeam.soak.Observation.NotReady;
import copperbeam.soak.Observation.Overstayed;
import copperbeam.soak.Observation.Sent;
import copperbeam.soak.Observation.StateFreed;
import copperbeam.soak.Observation.StateHeld;
import copperbeam.soak.Observation.Streamed;
import copperbeam.soak.Violation.Rule;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Checks the protocol's rules against what the stand-ins observed. A pure function from a history to the broken rules. */
final class Oracle {
    private static final long MS = 1_000_000;

    /**
     * The limits from the settings, and the tolerance for events that the stand-ins see late. {@code slowStart}: null in runs whose
     * troubles make it impossible to judge how much cold servers are sent.
     */
    record Terms(
            int mostAttempts,
            long releaseMs,
            long keyedWindowMs,
            boolean streamsResume,
            long slackMs,
            SlowStart slowStart) {}

    /** The slow-start settings, for servers that have started recently. */
    record SlowStart(double coldFrom, double warmWithinS, double fallMultiple, double fallS) {}

    private static final long ANSWER_GRACE_MS = 500; // how late after the deadline a final answer may come
    private static final long CLIENT_GONE_MS = 100; // an attempt may still begin this long after its client has gone
    // an attempt may still begin this long after discovery has announced the drain of its server
    private static final long DRAIN_MS = 1050;
    private static final long RELEASE_GRACE_MS = 350; // how much later than the settings' release time a release may come
    // the time announced to a server may exceed the client's remaining time by this
    private static final long DEADLINE_GRACE_MS = 150;
    private static final long KILL_NOTICE_MS = 300; // how long a client may take to notice a kill

    private static final class Attempt {
        final AttemptArrived arrived;
        AttemptEnded ended;
        Streamed streamed;

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
        Answered answered;
        ClientGone gone;
        final List<Attempt> attempts = new ArrayList<>();
        final List<AttemptOpened> opened = new ArrayList<>();
        final List<Observation> holds = new ArrayList<>(); // StateHeld and StateFreed
        ClosedUnanswered closed;
        NeverAnswered never;
    }

    private final Terms terms;
    private final Map<String, Request> requests = new TreeMap<>();
    private final Map<Long, Attempt> attempts = new HashMap<>();
    // when discovery announced each drain, by "conductor server"
    private final Map<String, Long> drains = new HashMap<>();
    private final List<Killed> kills = new ArrayList<>();
    private final List<CutOffFromAll> cuts = new ArrayList<>(); // beginnings and ends, in order of time
    private final List<Violation> violations = new ArrayList<>();
    private long end;

    private Oracle(Terms terms) {
        this.terms = terms;
    }

    /** The violations: first those found on the way through the history, then those of each request, then those of slow start. */
    static List<Violation> judge(List<Observation> inOrder, Terms terms) {
        Oracle oracle = new Oracle(terms);
        inOrder.forEach(oracle::take);
        oracle.requests.forEach(oracle::judge);
        if (terms.slowStart() != null) {
            oracle.violations.addAll(new SlowStartJudge(terms).judge(inOrder));
        }
        return oracle.violations;
    }

    private Request request(String id) {
        return requests.computeIfAbsent(id, name -> new Request());
    }

    private void take(Observation seen) {
        end = seen.at();
        if (seen instanceof Sent o) {
            Request r = request(o.id());
            if (!r.attempts.isEmpty() && !excused(r)) {
                broken(Rule.LOST, o.id(), "its connection was reset though it had been read");
            }
            r.sent = o;
            r.closed = null; // the client has sent it again, as the conductor had not read it
        } else if (seen instanceof Answered o) {
            request(o.id()).answered = o;
        } else if (seen instanceof ClosedUnanswered o) {
            request(o.id()).closed = o;
        } else if (seen instanceof NeverAnswered o) {
            request(o.id()).never = o;
        } else if (seen instanceof ClientGone o) {
            request(o.id()).gone = o;
        } else if (seen instanceof AttemptOpened o) {
            opened(o);
        } else if (seen instanceof AttemptArrived o) {
            Attempt attempt = new Attempt(o);
            attempts.put(o.attempt(), attempt);
            request(o.id()).attempts.add(attempt);
        } else if (seen instanceof AttemptEnded o) {
            attempts.get(o.attempt()).ended = o;
        } else if (seen instanceof Streamed o) {
            attempts.get(o.attempt()).streamed = o;
        } else if (seen instanceof StateHeld o) {
            request(o.id()).holds.add(o);
        } else if (seen instanceof StateFreed o) {
            request(o.id()).holds.add(o);
        } else {
            takeOfFleet(seen);
        }
    }

    private void takeOfFleet(Observation seen) {
        if (seen instanceof DrainTold o) {
            drains.putIfAbsent(o.conductor() + " " + o.server(), o.at());
        } else if (seen instanceof DrainEnded o) {
            drains.keySet().removeIf(name -> name.endsWith(" " + o.server()));
        } else if (seen instanceof CutOffFromAll o) {
            cuts.add(o);
        } else if (seen instanceof Killed o) {
            kills.add(o);
        } else if (seen instanceof Exited o && (!o.asked() || o.code() != 0)) {
            broken(
                    Rule.CRASHED,
                    o.conductor(),
                    "exit code " + o.code() + (o.asked() ? " after SIGTERM" : ", not asked to"));
        } else if (seen instanceof Overstayed o) {
            broken(Rule.OVERSTAYED, o.conductor(), "had not exited when it was killed after SIGTERM");
        } else if (seen instanceof NotReady o) {
            broken(Rule.NOT_READY, o.conductor(), "not ready after " + o.afterMs() + " ms");
        }
    }

    private void opened(AttemptOpened o) {
        request(o.id()).opened.add(o);
        Long told = drains.get(o.conductor() + " " + o.server());
        if (told != null && o.at() - told > (DRAIN_MS + terms.slackMs()) * MS) {
            broken(Rule.SENT_TO_DRAINING, o.id(), o.server() + " " + ms(o.at() - told) + " after its drain was announced");
        }
    }

    private void broken(Rule rule, String subject, String detail) {
        violations.add(new Violation(rule, subject, detail));
    }

    private static String ms(long nanos) {
        return nanos / MS + " ms";
    }

    private void judge(String id, Request r) {
        if (r.sent == null) {
            if (!r.attempts.isEmpty()) {
                broken(Rule.WRONG_ANSWER, id, "sent to a server, though no client had sent it completely");
            }
            return;
        }
        judgeAnswer(id, r);
        judgeAttempts(id, r);
        if (!excused(r)) { // after a kill the operating system still delivers what it has buffered
            judgeEnds(id, r);
            judgeHolds(id, r);
        }
    }

    /**
     * Whether its conductor was killed before the request was completely answered, or so shortly before it was sent that its client
     * couldn't know.
     */
    private boolean excused(Request r) {
        long answered = r.answered == null || !r.answered.whole() ? Long.MAX_VALUE : r.answered.at();
        return kills.stream()
                .filter(k -> k.conductor().equals(r.sent.conductor()))
                .anyMatch(k -> k.at() > r.sent.at() - KILL_NOTICE_MS * MS && k.at() < answered);
    }

    private void judgeAnswer(String id, Request r) {
        long deadline = r.sent.at() + r.sent.deadlineMs() * MS;
        if (r.gone != null || excused(r)) {
            return;
        }
        if (r.closed != null && r.closed.read()) {
            broken(
                    Rule.LOST,
                    id,
                    "read and closed unanswered " + ms(r.closed.at() - r.sent.at()) + " after it was sent");
        }
        if (r.never != null) {
            broken(Rule.LOST, id, "no answer " + ms(r.never.at() - r.sent.at()) + " after it was sent");
        }
        if (r.answered == null) {
            return;
        }
        boolean served = r.answered.status() == 200;
        if (!served && r.answered.at() > deadline + (ANSWER_GRACE_MS + terms.slackMs()) * MS) {
            broken(Rule.LOST, id, "status " + r.answered.status() + " " + ms(r.answered.at() - deadline) + " late");
        }
        if (served) {
            judgeStream(id, r);
        } else if (r.answered.status() == 429 || r.answered.status() == 503) {
            r.attempts.stream()
                    .filter(a -> r.sent.kind() == RequestKind.UNSAFE && a.mayHaveRun())
                    .forEach(a -> broken(Rule.REFUSED_AFTER_RUN, id, "at " + a.arrived.server()));
        }
    }

    private void judgeStream(String id, Request r) {
        String got = r.answered.body();
        boolean whole = r.answered.whole();
        boolean made = r.attempts.stream()
                .filter(a -> a.streamed != null)
                .anyMatch(a -> whole
                        ? a.streamed.whole() && a.streamed.body().equals(got)
                        : a.streamed.body().startsWith(got));
        boolean cut = !whole
                && !terms.streamsResume()
                && r.attempts.stream()
                        .anyMatch(a -> a.streamed != null && a.ended != null && a.ended.end() == AttemptEnd.GIVEN_UP);
        if (cut) {
            broken(Rule.LOST, id, "its stream was cut while its server wrote");
        }
        if (!made) {
            broken(Rule.WRONG_ANSWER, id, (whole ? "whole" : "cut") + ", not what a server produced: " + got.length());
        }
    }

    private void judgeAttempts(String id, Request r) {
        if (r.attempts.size() > terms.mostAttempts()) {
            broken(Rule.TOO_MANY_ATTEMPTS, id, r.attempts.size() + " attempts");
        }
        Attempt before = null;
        Attempt ran = null;
        for (Attempt a : r.attempts) {
            if (before != null && before.endedAt() > a.arrived.at() + terms.slackMs() * MS) {
                broken(Rule.TWO_AT_ONCE, id, before.arrived.server() + " and " + a.arrived.server());
            }
            if (ran != null && a.arrived.role() == Role.WRITER && !repeatable(r, ran, a)) {
                broken(Rule.REPEATED_RUN, id, ran.arrived.server() + ", then " + a.arrived.server());
            }
            ran = ran == null && a.mayHaveRun() ? a : ran;
            before = a;
            long left = r.sent.at() + r.sent.deadlineMs() * MS - a.arrived.sentAt();
            if (a.arrived.toldMs() > left / MS + DEADLINE_GRACE_MS + terms.slackMs()) {
                broken(Rule.DEADLINE_TOLD, id, a.arrived.toldMs() + " ms announced, " + ms(left) + " left");
            }
        }
    }

    private boolean repeatable(Request r, Attempt ran, Attempt again) {
        return switch (r.sent.kind()) {
            case SAFE -> true;
            case UNSAFE -> false;
            case KEYED -> again.arrived.at() - ran.arrived.at() < (terms.keyedWindowMs() + terms.slackMs()) * MS;
        };
    }

    /** An attempt begins when its last byte arrives at the server; an attempt that was given up before that doesn't count. */
    private void judgeEnds(String id, Request r) {
        for (Attempt a : r.attempts) {
            if (r.answered != null && a.arrived.at() > r.answered.at() + terms.slackMs() * MS) {
                broken(
                        Rule.SENT_AFTER_END,
                        id,
                        a.arrived.server() + " " + ms(a.arrived.at() - r.answered.at()) + " after");
            }
            if (r.gone != null && a.arrived.at() > r.gone.at() + (CLIENT_GONE_MS + terms.slackMs()) * MS) {
                broken(
                        Rule.SENT_AFTER_CLIENT_LEFT,
                        id,
                        a.arrived.server() + " " + ms(a.arrived.at() - r.gone.at()) + " after");
            }
        }
    }

    /** The time allowed for releasing a read state runs only while no attempt is in flight, from the end of the latest attempt. */
    private void judgeHolds(String id, Request r) {
        long heldSince = -1;
        for (Observation hold : r.holds) {
            if (hold instanceof StateHeld) {
                heldSince = heldSince < 0 ? hold.at() : heldSince;
            } else if (heldSince >= 0) {
                judgeHold(id, r, heldSince, hold.at());
                heldSince = -1;
            }
        }
        if (heldSince >= 0) {
            judgeHold(id, r, heldSince, end);
        }
    }

    private void judgeHold(String id, Request r, long from, long to) {
        long idleSince = from;
        for (Attempt a : r.attempts) {
            if (a.endedAt() > from && a.arrived.at() < to) {
                judgeIdle(id, r, idleSince, Math.min(a.arrived.at(), to));
                idleSince = Math.max(idleSince, a.endedAt());
            }
        }
        judgeIdle(id, r, idleSince, to);
    }

    /**
     * Doesn't count the time in which the conductor could reach no server, nor the time after it was killed: it can't release
     * anything then.
     */
    private void judgeIdle(String id, Request r, long from, long to) {
        long until = Math.min(to, killedAfter(from, r.sent.conductor()));
        long able = until - from - cutOffFromAll(r.sent.conductor(), from, until);
        if (able > (terms.releaseMs() + RELEASE_GRACE_MS + terms.slackMs()) * MS) {
            broken(Rule.PINNED, id, "held for " + ms(until - from));
        }
    }

    private long killedAfter(long from, String conductor) {
        return kills.stream()
                .filter(kill -> kill.conductor().equals(conductor) && kill.at() > from)
                .mapToLong(Killed::at)
                .findFirst()
                .orElse(Long.MAX_VALUE);
    }

    private long cutOffFromAll(String conductor, long from, long to) {
        long sum = 0;
        long since = -1;
        for (CutOffFromAll cut : cuts) {
            if (!cut.conductor().equals(conductor)) {
                continue;
            }
            if (cut.begins()) {
                since = since < 0 ? cut.at() : since;
            } else if (since >= 0) {
                sum += Math.max(0, Math.min(to, cut.at()) - Math.max(from, since));
                since = -1;
            }
        }
        return sum;
    }
}
