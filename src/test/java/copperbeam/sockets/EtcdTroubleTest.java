package copperbeam.sockets;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import copperbeam.Api.ServerState;
import copperbeam.protocol.etcd.EtcdMembership;
import copperbeam.routing.MembershipSource;
import copperbeam.routing.ModuleTime;
import copperbeam.soak.EtcdStandIn;
import copperbeam.soak.EtcdStandIn.Lateness;
import copperbeam.soak.EtcdStandIn.Style;
import copperbeam.transport.ClientReactor;
import copperbeam.transport.PlainHttpClient;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.testng.annotations.Test;

/** What a store does late, wrongly or not at all, over real sockets, and when a drain that it has is learnt. */
public class EtcdTroubleTest {
    private static final String PREFIX = "/s/";
    private static final int QUIET_MS = 2300; // before the trouble; several calls are answered
    private static final int LATE_BEFORE_MS = 5000; // calls are late for so long before the drain
    private static final int INFORMED_AFTER_MS = 6000;
    private static final int GRACE_MS = 1000 + 50;
    private static final int MANY_SERVERS = 3200;

    /** What is done to the store. */
    private interface Step {
        void run(EtcdStandIn etcd) throws Exception;
    }

    /**
     * One case. {@code trouble}: begins before the drain; {@code afterDrain}: follows the drain at once; the drain counts as
     * known {@code withinMs} after that.
     */
    private record Case(String name, Step before, Step trouble, Step afterDrain, int withinMs) {
        Case(String name, Step trouble) {
            this(name, etcd -> {}, trouble, etcd -> {}, INFORMED_AFTER_MS + GRACE_MS);
        }

        Case(String name, Step trouble, Step afterDrain) {
            this(name, etcd -> {}, trouble, afterDrain, INFORMED_AFTER_MS + GRACE_MS);
        }
    }

    private static Case late(String name, int head, int firstLine, int event, int list) {
        return new Case(name, etcd -> {
            etcd.setLateness(new Lateness(head, firstLine, event, list));
            Thread.sleep(LATE_BEFORE_MS);
        });
    }

    private static Case styled(String name, boolean indented, boolean newlineLate, int headPieceMs, int byteMs) {
        Step step = etcd -> etcd.setStyle(new Style(indented, newlineLate, headPieceMs, byteMs));
        return new Case(name, step, step, etcd -> {}, INFORMED_AFTER_MS + GRACE_MS);
    }

    private static List<Case> cases() {
        return List.of(
                new Case("healthy", etcd -> {}, etcd -> {}, etcd -> {}, GRACE_MS),
                late("late heads", 3500, 0, 0, 3500),
                late("late first lines", 0, 3500, 0, 0),
                late("late first lines and lists", 0, 3500, 0, 3500),
                late("late events", 0, 0, 3500, 0),
                late("late events and lists", 0, 0, 3500, 3500),
                late("late lists", 0, 0, 0, 5000),
                late("all late", 1500, 1500, 1500, 4500),
                styled("heads in pieces", false, false, 900, 0),
                styled("bytes that trickle", false, false, 0, 2),
                styled("indented answers", true, false, 0, 0),
                styled("line ends that come a minute later", false, true, 0, 0),
                new Case("silence for 3 s", etcd -> {}, EtcdTroubleTest::beSilentFor3s),
                new Case("silence of the open connections", EtcdStandIn::silenceOpenConnections),
                new Case("silence of the open connections, then late answers", etcd -> {
                    etcd.silenceOpenConnections();
                    etcd.setLateness(new Lateness(4000, 0, 0, 4000));
                }),
                new Case("a break, then late answers", etcd -> {
                    etcd.setLateness(new Lateness(3500, 0, 0, 3500));
                    etcd.resetConnections();
                }),
                new Case("refusals at the drain, then late answers", etcd -> etcd.refuse(true, true), etcd -> {
                    etcd.setLateness(new Lateness(3500, 0, 0, 3500));
                    etcd.refuse(false, false);
                }),
                new Case("refusals for 3 s", etcd -> etcd.refuse(true, true), etcd -> {
                    Thread.sleep(3000);
                    etcd.refuse(false, false);
                }),
                new Case("refused watches", etcd -> etcd.refuse(false, true)),
                new Case("refused lists", etcd -> etcd.refuse(true, false)),
                new Case("a compaction at the drain", etcd -> etcd.refuse(true, true), etcd -> {
                    etcd.compact();
                    etcd.refuse(false, false);
                }),
                new Case("a compaction at the drain, and late lists", etcd -> etcd.refuse(true, true), etcd -> {
                    etcd.compact();
                    etcd.setLateness(new Lateness(0, 0, 0, 3500));
                    etcd.refuse(false, false);
                }),
                new Case(
                        "a compaction of an unknown change before the drain, and refused lists",
                        etcd -> {
                            etcd.refuse(true, true);
                            etcd.put(PREFIX + "other", entry("draining"));
                            etcd.compact();
                        },
                        etcd -> etcd.refuse(true, false)),
                new Case("an earlier revision", EtcdTroubleTest::changeAndRestore),
                new Case("an earlier revision, and late answers", etcd -> {
                    changeAndRestore(etcd);
                    etcd.setLateness(new Lateness(3500, 0, 0, 3500));
                }),
                new Case(
                        "a break between two events of a store ahead of them",
                        etcd -> {
                            etcd.refuse(true, true);
                            etcd.put(PREFIX + "other", entry("active"));
                            etcd.breakWatchAfter(1);
                        },
                        etcd -> etcd.refuse(false, false)),
                new Case(
                        "entries that can't be read", EtcdTroubleTest::putUnreadable, etcd -> {}, etcd -> {}, GRACE_MS),
                new Case(
                        "an event that can't be read",
                        etcd -> {},
                        EtcdTroubleTest::putUnreadable,
                        etcd -> {},
                        GRACE_MS),
                new Case("many servers", EtcdTroubleTest::putMany, etcd -> {}, etcd -> {}, GRACE_MS),
                new Case(
                        "many servers, and a break",
                        EtcdTroubleTest::putMany,
                        EtcdStandIn::compact,
                        etcd -> {},
                        GRACE_MS));
    }

    private static void beSilentFor3s(EtcdStandIn etcd) throws Exception {
        etcd.setSilent(true);
        Thread.sleep(3000);
        etcd.setSilent(false);
    }

    private static void changeAndRestore(EtcdStandIn etcd) throws Exception {
        for (int i = 0; i < 5; i++) {
            etcd.put(PREFIX + "other", entry("active"));
        }
        Thread.sleep(300);
        etcd.restore(5);
    }

    private static void putUnreadable(EtcdStandIn etcd) {
        etcd.put(PREFIX + "bad-1", "no JSON");
        etcd.put(PREFIX + "bad-2", "{\"addr\":\"127.0.0.1:1\",\"state\":\"unknown\"}");
        etcd.put(PREFIX + "bad-3", "");
        etcd.put(PREFIX + "bad-4", "[".repeat(100_000));
        etcd.put(PREFIX, entry("active"));
    }

    private static void putMany(EtcdStandIn etcd) {
        for (int i = 0; i < MANY_SERVERS; i++) {
            etcd.put(
                    PREFIX + "one-of-many-servers-" + i,
                    entry("active").replace("}", ",\"note\":\"" + "x".repeat(200) + "\"}"));
        }
    }

    private static String entry(String state) {
        return "{\"addr\":\"127.0.0.1:1\",\"zone\":\"a\",\"kind\":\"k\",\"cell\":0,\"state\":\"" + state
                + "\",\"weight\":1.0,\"started_ms\":0}";
    }

    /** Returns how long after the steps of the case the drain was learnt, in ms, or -1 if it wasn't in time. */
    private static long play(Case played, ScheduledExecutorService scheduler, ClientReactor reactor) throws Exception {
        Map<String, ServerState> states = new ConcurrentHashMap<>();
        try (EtcdStandIn etcd = new EtcdStandIn((1L << 53) + 1, (key, value) -> {})) {
            etcd.put(PREFIX + "s", entry("active"));
            etcd.put(PREFIX + "other", entry("active"));
            played.before().run(etcd);
            MembershipSource source = new EtcdMembership(
                    scheduler, new PlainHttpClient(reactor), ModuleTime.steadyClock(), etcd.address(), PREFIX);
            source.start(change -> change.entries()
                    .forEach(e -> states.put(e.member().server(), e.member().state())));
            try {
                await(10_000, () -> states.containsKey("s"));
                Thread.sleep(QUIET_MS);
                played.trouble().run(etcd);
                etcd.put(PREFIX + "s", entry("leaving"));
                long drainNs = System.nanoTime();
                played.afterDrain().run(etcd);
                long reachableNs = System.nanoTime();
                boolean learnt = await(played.withinMs(), () -> states.get("s") == ServerState.DRAINING);
                return learnt
                        ? (System.nanoTime() - (played.withinMs() == GRACE_MS ? drainNs : reachableNs)) / 1_000_000
                        : -1;
            } finally {
                source.stop();
            }
        }
    }

    private static boolean await(int withinMs, Callable<Boolean> condition) throws Exception {
        long endNs = System.nanoTime() + withinMs * 1_000_000L;
        while (!condition.call()) {
            if (System.nanoTime() > endNs) {
                return false;
            }
            Thread.sleep(5);
        }
        return true;
    }

    /** Guards against drains that are learnt late or never, whatever the store does that its description allows. */
    @Test
    public void aDrainIsLearntInTimeFromAStoreInTrouble() throws Exception {
        ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);
        ExecutorService players = Executors.newCachedThreadPool();
        List<String> missed = new ArrayList<>();
        try (ClientReactor reactor = new ClientReactor()) {
            Map<String, Future<Long>> results = new LinkedHashMap<>();
            for (Case played : cases()) {
                results.put(played.name(), players.submit(() -> play(played, scheduler, reactor)));
            }
            for (Map.Entry<String, Future<Long>> result : results.entrySet()) {
                long learntMs = result.getValue().get();
                System.out.println("etcd, " + result.getKey() + ": " + learntMs + " ms");
                if (learntMs < 0) {
                    missed.add(result.getKey());
                }
            }
            assertTrue(results.size() > 25, results.size() + " cases");
        } finally {
            players.shutdownNow();
            scheduler.shutdownNow();
        }
        assertEquals(missed, List.of());
    }

    /** An unreachable store leaves the last list in use, and the log says how old it is. */
    @Test
    public void anUnreachableStoreLeavesTheListAndTheLogSaysHowOldItIs() throws Exception {
        ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
        List<String> logged = new CopyOnWriteArrayList<>();
        List<MembershipSource.Change> changes = new CopyOnWriteArrayList<>();
        Handler handler = new Handler() {
            @Override
            public void publish(LogRecord logRecord) {
                logged.add(logRecord.getMessage());
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        };
        Logger.getLogger(EtcdMembership.class.getName()).addHandler(handler);
        try (ClientReactor reactor = new ClientReactor();
                EtcdStandIn etcd = new EtcdStandIn(1, (key, value) -> {})) {
            etcd.put(PREFIX + "s", entry("active"));
            MembershipSource source = new EtcdMembership(
                    scheduler, new PlainHttpClient(reactor), ModuleTime.steadyClock(), etcd.address(), PREFIX);
            source.start(changes::add);
            assertTrue(await(5000, () -> !changes.isEmpty()));
            etcd.setSilent(true);
            assertTrue(await(9000, () -> logged.stream().anyMatch(l -> l.contains("the server list is 6 s old"))));
            etcd.setSilent(false);
            assertTrue(await(5000, () -> logged.stream().anyMatch(l -> l.contains("current again"))));
            source.stop();
            assertEquals(changes.size(), 1, "the list is not published again");
        } finally {
            Logger.getLogger(EtcdMembership.class.getName()).removeHandler(handler);
            scheduler.shutdownNow();
        }
    }
}
