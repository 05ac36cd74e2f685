package copperbeam.transport;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class DescriptorBudgetTest {
    private static final int LIMIT = 256;
    private static final int IDLE_CONNECTIONS = 20;

    /**
     * Columns: open descriptors, connections to servers, open requests; expected: clients granted, whether one more request
     * may begin, whether one more connection to a server may be opened.
     */
    @DataProvider
    public Object[][] states() {
        return new Object[][] {
            {200, 20, 0, 32, true, true},
            {200, 0, 0, 12, true, true}, // the allowed idle connections may still be opened
            {232, 20, 0, 0, true, true}, // no new client, but connected clients are still served
            {239, 20, 0, 0, true, true},
            {240, 20, 0, 0, false, true}, // no new request, but open requests may still connect to servers
            {247, 20, 0, 0, false, true},
            {248, 20, 0, 0, false, false},
            {Integer.MAX_VALUE, 20, 0, 0, false, false}, // no descriptor was left to count the open ones with
            {190, 20, 40, 2, true, true}, // each request is about to open a connection
            {190, 60, 40, 42, true, true}, // each request has its connection
            {190, 45, 40, 27, true, true}, // some of the connections are idle
            {210, 20, 40, 0, false, true}
        };
    }

    @Test(dataProvider = "states")
    public void descriptorsAreReservedByPriority(
            int open, int connections, int requests, int granted, boolean mayBegin, boolean mayConnect) {
        DescriptorBudget budget = new DescriptorBudget(LIMIT, IDLE_CONNECTIONS, () -> connections, () -> open, () -> 0);
        assertEquals(budget.mayBeginRequest(requests), mayBegin);
        assertEquals(budget.mayConnectToServer(), mayConnect);
        assertEquals(
                IntStream.range(0, LIMIT)
                        .filter(i -> budget.grantClient(requests))
                        .count(),
                granted);
    }

    /** Connections opened between two readings of the system's count are counted at once. */
    @Test
    public void connectionsCountAsTheyAreOpened() {
        AtomicInteger connections = new AtomicInteger();
        DescriptorBudget budget = new DescriptorBudget(LIMIT, IDLE_CONNECTIONS, connections::get, () -> 238, () -> 0);
        while (budget.mayConnectToServer()) {
            connections.incrementAndGet();
        }
        assertEquals(connections.get(), 10);
    }

    /** A closed connection's descriptor counts until the system no longer counts it. */
    @Test
    public void closedDescriptorsAreGrantedAfterTheNextReading() {
        AtomicLong open = new AtomicLong(232);
        AtomicLong now = new AtomicLong();
        DescriptorBudget budget =
                new DescriptorBudget(LIMIT, IDLE_CONNECTIONS, () -> IDLE_CONNECTIONS, open::get, now::get);
        assertEquals(budget.grantClient(0), false);
        open.set(231);
        now.addAndGet(TimeUnit.MILLISECONDS.toNanos(6));
        assertEquals(budget.grantClient(0), true);
        assertEquals(budget.grantClient(0), false);
    }
}
