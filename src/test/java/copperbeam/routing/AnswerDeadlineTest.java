package copperbeam.routing;

import static org.testng.Assert.assertEquals;

import copperbeam.routing.Connector.AnswerKind;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.time.Instant;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class AnswerDeadlineTest {
    private static final Instant START = Instant.ofEpochSecond(1000);
    private static final int OWN_TIME_MS = 9000;

    /** A connection on which the last byte, and the last progress, came so long ago. */
    private static Connector.Connection connection(int silenceMs, int withoutProgressMs) {
        return (Connector.Connection) Proxy.newProxyInstance(
                AnswerDeadlineTest.class.getClassLoader(),
                new Class<?>[] {Connector.Connection.class},
                (proxy, method, args) ->
                        Duration.ofMillis(method.getName().equals("inputSilence") ? silenceMs : withoutProgressMs));
    }

    @DataProvider
    public Object[][] answers() {
        return new Object[][] {
            // kind, stream begun, time since the head, silence, without progress, remaining
            {null, false, 0, 0, 0, 9000},
            {AnswerKind.STREAM, false, 5000, 5000, 5000, 4000},
            {AnswerKind.STREAM, true, 20_000, 0, 0, 4000},
            {AnswerKind.STREAM, true, 20_000, 0, 4000, 0},
            {AnswerKind.STREAM, true, 20_000, 3000, 3000, 1000},
            {AnswerKind.READ, false, 5000, 100, 0, 700},
            {AnswerKind.READ, false, 5000, 900, 0, -100},
            {AnswerKind.READ, false, 8900, 0, 0, 100},
            {AnswerKind.TURNED_AWAY, false, 700, 0, 0, 100},
            {AnswerKind.STATE_MISSING, false, 800, 0, 0, 0},
            {AnswerKind.ERROR, false, 900, 0, 0, -100},
        };
    }

    @Test(dataProvider = "answers")
    public void theRemainingTimeDependsOnWhatIsStillOfUse(
            AnswerKind kind, boolean streams, int sinceHeadMs, int silenceMs, int withoutProgressMs, int expectedMs) {
        AnswerDeadline deadline = new AnswerDeadline(START.plusMillis(OWN_TIME_MS));
        if (kind != null) {
            deadline.answerClassified(kind, START);
        }
        if (streams) {
            deadline.firstEventReported();
            deadline.streamAccepted();
        }
        Duration remaining =
                deadline.remaining(START.plusMillis(sinceHeadMs), connection(silenceMs, withoutProgressMs));
        assertEquals(remaining.toMillis(), expectedMs);
    }
}
