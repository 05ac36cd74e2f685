package copperbeam.soak;

import copperbeam.soak.EtcdStandIn.Lateness;
import java.io.IOException;
import java.util.Iterator;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/**
 * An etcd that gives one conductor the server list: its keys follow the fleet, and it is in one trouble after another. Notes each
 * drain as announced once it is written to the conductor, or {@link #KNOWN_AFTER_MS} after the store had it and could be reached.
 */
final class EtcdAgent implements AutoCloseable {
    private enum Trouble {
        SILENT,
        OPEN_CONNECTIONS_SILENT,
        RESET,
        REFUSES,
        REFUSES_LISTS,
        REFUSES_WATCHES,
        LATE_HEADS,
        LATE_FIRST_LINES,
        LATE_EVENTS,
        LATE_LISTS,
        ALL_LATE,
        COMPACTION,
        RESTORED
    }

    static final String PREFIX = "/servers/";
    private static final long KNOWN_AFTER_MS = 6000;
    private static final long NANOS_PER_MS = 1_000_000;
    private static final int FIRST_REVISION = 1000;
    private static final int FLEET_WAIT_MS = 50;
    private static final int LATE_MS = 2500;
    private static final int MIN_PAUSE_MS = 1000; // between two troubles
    private static final int PAUSE_RANGE_MS = 1000;
    private static final int MIN_LENGTH_MS = 300;
    private static final int LENGTH_RANGE_MS = 2700;
    private static final int MAX_LOST_CHANGES = 4;

    private final String conductor;
    private final Fleet fleet;
    private final Function<String, String> addresses;
    private final History history;
    private final Random random;
    private final EtcdStandIn etcd;
    private final Map<String, Long> drainsSince = new ConcurrentHashMap<>(); // not announced yet, by server
    private volatile long reachableSince = System.nanoTime();
    private volatile boolean reachable = true;

    /** {@code addresses}: gives the address of a server, by its id, for this conductor. */
    EtcdAgent(String conductor, Fleet fleet, Function<String, String> addresses, History history, long seed)
            throws IOException, InterruptedException {
        this.conductor = conductor;
        this.fleet = fleet;
        this.addresses = addresses;
        this.history = history;
        random = new Random(seed);
        etcd = new EtcdStandIn(FIRST_REVISION, this::noteWritten);
        long version = putAll(-1);
        Daemon.start("etcd", () -> followFleet(version));
    }

    String hostAndPort() {
        return "127.0.0.1:" + etcd.address().getPort();
    }

    /** Begins the troubles after {@code delayMs}. */
    void startTroubles(long delayMs) {
        Daemon.start("etcd troubles", () -> makeTroubles(delayMs));
    }

    private void followFleet(long fromVersion) throws InterruptedException {
        long version = fromVersion;
        while (true) {
            fleet.changesSince(version, FLEET_WAIT_MS);
            version = putAll(version);
            announceOldDrains();
        }
    }

    /** Writes the fleet's changes after a version into the store, and returns the fleet's version then. */
    private long putAll(long after) throws InterruptedException {
        synchronized (etcd) {
            long version = after;
            for (Fleet.Entry entry : fleet.changesSince(after, 0).values()) {
                boolean hasLeft = entry.state().equals("left");
                etcd.put(PREFIX + entry.id(), hasLeft ? null : entry.toJson(addresses.apply(entry.id())));
                if (entry.state().equals("active")) {
                    drainsSince.remove(entry.id());
                } else {
                    drainsSince.putIfAbsent(entry.id(), System.nanoTime());
                }
                version = Math.max(version, entry.version());
            }
            return version;
        }
    }

    private void announceOldDrains() {
        long now = System.nanoTime();
        for (Iterator<Map.Entry<String, Long>> drains = drainsSince.entrySet().iterator(); drains.hasNext(); ) {
            Map.Entry<String, Long> drain = drains.next();
            long since = Math.max(drain.getValue(), reachableSince);
            if (reachable && now - since > KNOWN_AFTER_MS * NANOS_PER_MS) {
                drains.remove();
                history.add(new Observation.DrainAnnounced(now, conductor, drain.getKey()));
            }
        }
    }

    private void noteWritten(String key, String value) {
        if (value == null || !value.contains("\"active\"")) {
            history.add(new Observation.DrainAnnounced(System.nanoTime(), conductor, key.substring(PREFIX.length())));
        }
    }

    private void makeTroubles(long delayMs) throws IOException, InterruptedException {
        Thread.sleep(delayMs);
        while (true) {
            Thread.sleep(MIN_PAUSE_MS + random.nextInt(PAUSE_RANGE_MS));
            carryOut(Trouble.values()[random.nextInt(Trouble.values().length)]);
        }
    }

    private void carryOut(Trouble trouble) throws IOException, InterruptedException {
        int lengthMs = MIN_LENGTH_MS + random.nextInt(LENGTH_RANGE_MS);
        switch (trouble) {
            case SILENT -> {
                reachable = false;
                etcd.setSilent(true);
                Thread.sleep(lengthMs);
                etcd.setSilent(false);
                setReachable();
            }
            case REFUSES -> {
                reachable = false;
                refuse(true, true, lengthMs);
                setReachable();
            }
            case REFUSES_LISTS -> refuse(true, false, lengthMs);
            case REFUSES_WATCHES -> refuse(false, true, lengthMs);
            case OPEN_CONNECTIONS_SILENT -> etcd.silenceOpenConnections();
            case RESET -> etcd.resetConnections();
            case LATE_HEADS -> beLate(new Lateness(LATE_MS, 0, 0, 0), lengthMs);
            case LATE_FIRST_LINES -> beLate(new Lateness(0, LATE_MS, 0, 0), lengthMs);
            case LATE_EVENTS -> beLate(new Lateness(0, 0, LATE_MS, 0), lengthMs);
            case LATE_LISTS -> beLate(new Lateness(0, 0, 0, LATE_MS), lengthMs);
            case ALL_LATE -> beLate(new Lateness(LATE_MS, 0, 0, LATE_MS), lengthMs);
            case COMPACTION -> etcd.compact();
            case RESTORED -> {
                synchronized (etcd) {
                    etcd.restore(1 + random.nextInt(MAX_LOST_CHANGES));
                    putAll(-1); // at once, as what the list would undo meanwhile isn't judged
                }
            }
            default -> throw new AssertionError(trouble);
        }
    }

    private void setReachable() {
        reachableSince = System.nanoTime();
        reachable = true;
    }

    private void refuse(boolean lists, boolean watches, int lengthMs) throws IOException, InterruptedException {
        etcd.refuse(lists, watches);
        Thread.sleep(lengthMs);
        etcd.refuse(false, false);
    }

    private void beLate(Lateness lateness, int lengthMs) throws InterruptedException {
        etcd.setLateness(lateness);
        Thread.sleep(lengthMs);
        etcd.setLateness(Lateness.NONE);
    }

    @Override
    public void close() throws IOException {
        etcd.close();
    }
}
