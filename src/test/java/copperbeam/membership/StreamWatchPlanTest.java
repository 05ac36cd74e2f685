package copperbeam.membership;

import static copperbeam.membership.MergedMembersTest.entries;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import copperbeam.Api.ServerState;
import copperbeam.membership.StoreAnswer.Listing;
import copperbeam.membership.StoreAnswer.ServerUpdate;
import copperbeam.membership.StoreAnswer.WatchResponse;
import copperbeam.membership.StreamWatchPlan.Action;
import copperbeam.membership.StreamWatchPlan.CancelCall;
import copperbeam.membership.StreamWatchPlan.Publish;
import copperbeam.membership.StreamWatchPlan.StartList;
import copperbeam.membership.StreamWatchPlan.StartWatch;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Simulates the calls to a store in virtual time (ms) and checks when a drain is applied: over all kinds of lateness in each
 * part of an answer, and troubles of each kind at every moment around the drain.
 */
public class StreamWatchPlanTest {
    private static final int TICK_MS = 50;
    private static final int GRACE_MS =
            1000 - 150; // to act on a known change, less the time for actors and the machine
    private static final int INFORMED_AFTER_MS = 6000;
    private static final int NEVER_MS = 1_000_000;
    private static final int FIRST_REVISION = 10;
    private static final int RESTORED_REVISION = 5;
    private static final int OTHER_CHANGE_MS = 300; // before the drain, another server changes
    private static final int RETRY_MS = 300; // from a failure to the next call, at most
    private static final int LONGEST_LATENESS_MS = 5700; // with a call a second learnt from in time

    /** How late each part of an answer is. {@code snapshotAtEnd}: a list is that of the moment when it is sent. */
    private record Lateness(int head, int firstLine, int event, int list, boolean snapshotAtEnd) {
        int longest() {
            return Math.max(list, head + firstLine + event);
        }
    }

    private enum Kind {
        NONE,
        /** Open and new calls get no byte, and never will. */
        SILENCE,
        /** Open calls are reset, and new ones are refused. */
        REFUSAL,
        /** Open calls are reset. */
        BREAK,
        LISTS_REFUSED,
        WATCHES_REFUSED,
        LISTS_SILENT,
        WATCHES_SILENT,
        /** The changes so far are compacted, and open watches are reset. */
        COMPACTION,
        /** The store goes on from an earlier revision, and open watches are reset. */
        RESTORED;

        boolean concerns(boolean isList) {
            return switch (this) {
                case LISTS_REFUSED, LISTS_SILENT -> isList;
                case WATCHES_REFUSED, WATCHES_SILENT, COMPACTION, RESTORED -> !isList;
                default -> true;
            };
        }

        boolean endsAllLists() {
            return this == LISTS_REFUSED || this == LISTS_SILENT;
        }

        boolean endsAllWatches() {
            return this == WATCHES_REFUSED || this == WATCHES_SILENT;
        }

        boolean resetsCalls() {
            return this == BREAK || this == REFUSAL || this == SILENCE || this == COMPACTION || this == RESTORED;
        }

        boolean isSilent() {
            return this == SILENCE || this == LISTS_SILENT || this == WATCHES_SILENT;
        }

        boolean refusesNewCalls() {
            return this == REFUSAL || this == LISTS_REFUSED || this == WATCHES_REFUSED;
        }
    }

    private record Trouble(Kind kind, int fromMs, int lengthMs) {
        boolean covers(int time) {
            return time >= fromMs && time < fromMs + lengthMs;
        }
    }

    private record Scenario(List<Trouble> troubles, Lateness lateness, int drainAtMs, boolean withRevisions) {
        Scenario(Trouble trouble, Lateness lateness, int drainAtMs, boolean withRevisions) {
            this(List.of(trouble), lateness, drainAtMs, withRevisions);
        }

        Stream<Trouble> troubles(Kind kind) {
            return troubles.stream().filter(trouble -> trouble.kind() == kind);
        }

        /** When the store has the drain and can be reached for long enough to be asked for it. */
        int reachableFrom() {
            int span = lateness.longest() + (int) StreamWatchPlan.CALL_INTERVAL.toMillis() / 2;
            int reachableFrom = drainAtMs;
            for (Trouble trouble : troubles) {
                boolean unreachable = trouble.kind() == Kind.SILENCE || trouble.kind() == Kind.REFUSAL;
                int end = trouble.fromMs() + trouble.lengthMs();
                if (unreachable && reachableFrom < end && reachableFrom > trouble.fromMs() - span) {
                    reachableFrom = end;
                }
            }
            return reachableFrom;
        }

        int limit() {
            return reachableFrom() + INFORMED_AFTER_MS + GRACE_MS;
        }

        /** Whether an answer to a call that is made once all calls have been reset can come in time. */
        boolean canBeAnsweredInTime() {
            int lastReset = troubles.stream()
                    .filter(trouble -> trouble.kind().resetsCalls())
                    .mapToInt(Trouble::fromMs)
                    .max()
                    .orElse(0);
            boolean needsCompactRevision =
                    endsAllLists() && troubles(Kind.COMPACTION).findAny().isPresent();
            int toCompactRevision = needsCompactRevision ? lateness.head() + lateness.firstLine() + RETRY_MS : 0;
            return lastReset + RETRY_MS + toCompactRevision + lateness.longest() < limit();
        }

        boolean endsAllLists() {
            return troubles.stream().anyMatch(trouble -> trouble.kind().endsAllLists());
        }

        /** Whether neither lists nor watches could ever bring the drain, or the store loses it. */
        boolean isHopeless() {
            boolean noLists =
                    troubles.stream().anyMatch(trouble -> trouble.kind().endsAllLists());
            boolean noWatches =
                    troubles.stream().anyMatch(trouble -> trouble.kind().endsAllWatches());
            return noLists && noWatches
                    || noLists && troubles(Kind.RESTORED).findAny().isPresent()
                    || troubles(Kind.RESTORED).anyMatch(trouble -> trouble.fromMs() >= drainAtMs - OTHER_CHANGE_MS);
        }
    }

    private record Change(int time, long revision, String entry) {}

    private static final class Simulation {
        final Scenario scenario;
        final StreamWatchPlan plan = new StreamWatchPlan(
                new Backoff(Duration.ofMillis(100), Duration.ofSeconds(1), new SplittableRandom(1)));
        final VirtualTimeline timeline = new VirtualTimeline();
        final Map<Integer, Boolean> openCalls = new HashMap<>(); // whether it is a list, by call
        final List<Change> changes = new ArrayList<>();
        int callCount;
        int mostOpenCalls;
        int appliedAt = NEVER_MS;

        Simulation(Scenario scenario) {
            this.scenario = scenario;
            int drainAt = scenario.drainAtMs();
            changes.add(new Change(0, FIRST_REVISION, "a+0 b+0"));
            scenario.troubles(Kind.RESTORED)
                    .forEach(trouble -> changes.add(new Change(trouble.fromMs(), RESTORED_REVISION, "a+0 b+0")));
            changes.add(new Change(drainAt - OTHER_CHANGE_MS, nextRevision(), "b+1"));
            changes.add(new Change(drainAt, nextRevision(), "a-0"));
            scenario.troubles()
                    .forEach(trouble -> timeline.runAt(trouble.fromMs(), () -> beginTrouble(trouble.kind())));
            timeline.runAt(0, this::tick);
        }

        long nextRevision() {
            return changes.get(changes.size() - 1).revision() + 1;
        }

        Simulation run(int untilMs) {
            while (appliedAt == NEVER_MS && timeline.runNext(untilMs)) {
                // each task schedules what follows it
            }
            return this;
        }

        void tick() {
            carryOut(plan.onTick(timeline.instant()));
            timeline.runAfter(TICK_MS, this::tick);
        }

        List<Change> changesUpTo(int time) {
            return changes.stream().filter(c -> c.time() <= time).toList();
        }

        long revisionAt(int time) {
            List<Change> past = changesUpTo(time);
            return past.get(past.size() - 1).revision();
        }

        void beginTrouble(Kind kind) {
            if (kind != Kind.NONE) {
                for (int call : List.copyOf(openCalls.keySet())) {
                    if (kind.concerns(openCalls.get(call))) {
                        openCalls.remove(call); // nothing more comes of it
                        if (!kind.isSilent()) {
                            carryOut(plan.onFailure(call, timeline.instant()));
                        }
                    }
                }
            }
        }

        void carryOut(List<Action> actions) {
            for (Action action : actions) {
                if (action instanceof StartList list) {
                    startCall(list.callId(), true, () -> startList(list.callId()));
                } else if (action instanceof StartWatch watch) {
                    startCall(watch.callId(), false, () -> startWatch(watch));
                } else if (action instanceof CancelCall cancel) {
                    openCalls.remove(cancel.callId());
                } else if (action instanceof Publish publish
                        && publish.change().entries().stream()
                                .anyMatch(e -> e.member().state() == ServerState.DRAINING)) {
                    appliedAt = Math.min(appliedAt, timeline.now());
                }
            }
        }

        void startCall(int call, boolean isList, Runnable start) {
            callCount++;
            openCalls.put(call, isList);
            mostOpenCalls = Math.max(mostOpenCalls, openCalls.size());
            List<Kind> kinds = scenario.troubles().stream()
                    .filter(trouble -> trouble.covers(timeline.now()))
                    .map(Trouble::kind)
                    .filter(kind -> kind.concerns(isList))
                    .toList();
            if (kinds.stream().anyMatch(Kind::isSilent)) {
                openCalls.remove(call);
            } else if (kinds.stream().anyMatch(Kind::refusesNewCalls)) {
                timeline.runAfter(1, () -> fail(call));
            } else {
                start.run();
            }
        }

        void fail(int call) {
            if (openCalls.remove(call) != null) {
                carryOut(plan.onFailure(call, timeline.instant()));
            }
        }

        void startList(int call) {
            int startedAt = timeline.now();
            timeline.runAfter(1 + scenario.lateness().list(), () -> {
                if (openCalls.remove(call) != null) {
                    int snapshotAt = scenario.lateness().snapshotAtEnd() ? timeline.now() : startedAt;
                    Map<String, ServerUpdate> servers = new HashMap<>();
                    for (Change change : changesUpTo(snapshotAt)) {
                        updates(change).forEach(update -> servers.put(update.server(), update));
                    }
                    Listing listing = new Listing(revisionAt(snapshotAt), List.copyOf(servers.values()));
                    carryOut(plan.onListed(call, listing, timeline.instant()));
                }
            });
        }

        List<ServerUpdate> updates(Change change) {
            return StreamWatchPlanTest.updates(change.entry(), scenario.withRevisions() ? change.revision() : 0);
        }

        void startWatch(StartWatch watch) {
            int now = timeline.now();
            int createdAt =
                    now + 1 + scenario.lateness().head() + scenario.lateness().firstLine();
            long compactRevision = scenario.troubles(Kind.COMPACTION)
                    .filter(trouble -> now >= trouble.fromMs())
                    .mapToLong(trouble -> revisionAt(trouble.fromMs()))
                    .max()
                    .orElse(0);
            boolean isCompacted = watch.fromRevision() < compactRevision;
            timeline.runAt(createdAt, () -> {
                if (!isCompacted) {
                    respond(watch.callId(), List.of());
                } else if (openCalls.remove(watch.callId()) != null) {
                    carryOut(plan.onCompacted(watch.callId(), compactRevision, timeline.instant()));
                }
            });
            int historyFrom = scenario.troubles(Kind.RESTORED)
                    .mapToInt(Trouble::fromMs)
                    .filter(restoredAt -> now >= restoredAt)
                    .findFirst()
                    .orElse(0);
            changes.stream()
                    .filter(c -> c.time() > historyFrom && c.revision() >= watch.fromRevision() && !isCompacted)
                    .forEach(c -> timeline.runAt(
                            Math.max(c.time(), createdAt) + scenario.lateness().event(),
                            () -> respond(watch.callId(), updates(c))));
        }

        void respond(int call, List<ServerUpdate> updates) {
            if (openCalls.containsKey(call)) {
                carryOut(plan.onWatchResponse(
                        call, new WatchResponse(revisionAt(timeline.now()), updates), timeline.instant()));
            }
        }
    }

    private static List<ServerUpdate> updates(String entries, long revision) {
        return entries(entries).stream()
                .map(entry -> new ServerUpdate(entry.member().server(), entry, revision))
                .toList();
    }

    private static Stream<Lateness> latenesses(int longestMs) {
        return Stream.of(
                        new int[] {0, 0, 0, 0},
                        new int[] {longestMs, 0, 0, 0},
                        new int[] {0, longestMs, 0, 0},
                        new int[] {0, 0, longestMs, 0},
                        new int[] {0, 0, 0, longestMs},
                        new int[] {longestMs, 0, 0, longestMs},
                        new int[] {0, longestMs, 0, longestMs},
                        new int[] {0, 0, longestMs, longestMs},
                        new int[] {longestMs / 3, longestMs / 3, longestMs / 3, longestMs})
                .flatMap(l -> Stream.of(
                        new Lateness(l[0], l[1], l[2], l[3], false), new Lateness(l[0], l[1], l[2], l[3], true)));
    }

    @DataProvider(parallel = true) // each row takes seconds of processor time, and shares nothing with the others
    public Object[][] kinds() {
        return Stream.of(Kind.values()).map(kind -> new Object[] {kind}).toArray(Object[][]::new);
    }

    /** Guards against drains from etcd that are learnt late or never, whatever part of an answer is late or lost. */
    @Test(dataProvider = "kinds")
    public void aDrainIsAppliedInTimeWhateverTheStoreDoes(Kind kind) {
        int scenarios = 0;
        for (int longest : new int[] {0, 1500, 3500, 4700, LONGEST_LATENESS_MS}) {
            for (Lateness lateness : latenesses(longest).toList()) {
                for (int phase = 0; phase < 2000; phase += 230) {
                    for (int before : new int[] {3000, 1200, 400, 100, 0, -60, -700, -2000}) {
                        for (int length : lengths(kind)) {
                            int drainAt = 20_000 + phase;
                            Trouble trouble = new Trouble(kind, drainAt - before, length);
                            check(new Scenario(trouble, lateness, drainAt, scenarios++ % 4 > 0));
                        }
                    }
                }
            }
        }
        assertTrue(scenarios > 1900, scenarios + " scenarios");
    }

    /** Guards against two troubles that hide a drain together, though the plan copes with each of them alone. */
    @Test(dataProvider = "kinds")
    public void aDrainIsAppliedInTimeWhicheverTwoTroublesMeet(Kind kind) {
        int scenarios = 0;
        for (Kind second : Kind.values()) {
            for (int longest : new int[] {0, 4700}) {
                for (Lateness lateness : latenesses(longest).toList()) {
                    for (int phase = 0; phase < 1400; phase += 700) {
                        for (int before : new int[] {4000, 50, -500}) {
                            for (int secondBefore : new int[] {2500, 0, -900}) {
                                int drainAt = 12_000 + phase;
                                int[] lengths = lengths(kind);
                                int[] secondLengths = lengths(second);
                                Trouble trouble =
                                        new Trouble(kind, drainAt - before, lengths[scenarios % lengths.length]);
                                Trouble secondTrouble = new Trouble(
                                        second,
                                        drainAt - secondBefore,
                                        secondLengths[scenarios / 2 % secondLengths.length]);
                                check(new Scenario(
                                        List.of(trouble, secondTrouble), lateness, drainAt, scenarios++ % 4 > 0));
                            }
                        }
                    }
                }
            }
        }
        assertTrue(scenarios > 6000, scenarios + " scenarios");
    }

    private static int[] lengths(Kind kind) {
        return kind == Kind.SILENCE || kind == Kind.REFUSAL ? new int[] {200, 1100, 3000, 8000} : new int[] {NEVER_MS};
    }

    private static void check(Scenario scenario) {
        if (scenario.isHopeless() || !scenario.canBeAnsweredInTime()) {
            return;
        }
        Simulation simulation = new Simulation(scenario).run(scenario.limit() + 1);
        if (simulation.appliedAt > scenario.limit()) {
            fail(scenario + ": applied at " + simulation.appliedAt + ", limit " + scenario.limit());
        }
        assertTrue(
                simulation.mostOpenCalls <= StreamWatchPlan.MAX_OPEN_LISTS + StreamWatchPlan.MAX_OPEN_WATCHES,
                "calls are bounded");
    }

    /** Guards against the loss of a drain at the revision of another server's change, which an earlier response brought. */
    @Test
    public void aDrainIsAppliedBehindAnotherChangeOfItsRevision() {
        StreamWatchPlan plan = new StreamWatchPlan(
                new Backoff(Duration.ofMillis(100), Duration.ofSeconds(1), new SplittableRandom(1)));
        int list = ((StartList) plan.onTick(Instant.EPOCH).get(0)).callId();
        Listing listing = new Listing(FIRST_REVISION, updates("a+0 b+0", FIRST_REVISION));
        int watch = plan.onListed(list, listing, Instant.EPOCH).stream()
                .filter(StartWatch.class::isInstance)
                .mapToInt(action -> ((StartWatch) action).callId())
                .findFirst()
                .orElseThrow();
        int revision = FIRST_REVISION + 1;
        plan.onWatchResponse(watch, new WatchResponse(revision, updates("b+1", revision)), Instant.EPOCH);
        List<Action> actions =
                plan.onWatchResponse(watch, new WatchResponse(revision, updates("a-0", revision)), Instant.EPOCH);
        assertTrue(actions.stream().anyMatch(Publish.class::isInstance), actions.toString());
    }

    /** Guards against a store that is asked more often for good, once one watch has broken. */
    @Test
    public void aStoreIsAskedOnceASecondAgainAfterABrokenWatch() {
        Trouble broken = new Trouble(Kind.BREAK, 5000, NEVER_MS);
        Scenario scenario = new Scenario(broken, new Lateness(0, 0, 0, 0, false), 120_000, true);
        Simulation simulation = new Simulation(scenario).run(60_000);
        int callsBefore = simulation.callCount;
        simulation.run(119_000);
        assertTrue(simulation.callCount - callsBefore <= 60, simulation.callCount - callsBefore + " calls in 59 s");
    }

    /** A healthy store's drain is passed on at once, and the calls are few. */
    @Test
    public void aHealthyStoreIsAskedOnceASecond() {
        Scenario scenario =
                new Scenario(new Trouble(Kind.NONE, NEVER_MS, 0), new Lateness(0, 0, 0, 0, false), 60_000, true);
        Simulation simulation = new Simulation(scenario).run(61_000);
        assertEquals(simulation.appliedAt, 60_000, "the drain is applied at once");
        assertTrue(simulation.callCount <= 62, simulation.callCount + " calls in a minute");
        assertTrue(simulation.mostOpenCalls <= 6, simulation.mostOpenCalls + " calls at a time");
    }
}
