package copperbeam.lifecycle;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import copperbeam.lifecycle.Lifecycle.Step;
import java.time.Duration;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The steps of drains and stops. */
public class LifecycleTest {
    private static final Duration STOP_TIMEOUT = Duration.ofMillis(3700);

    /** Words: milliseconds since the stop, {@code o} if connections are open, {@code a} if other conductors are away. */
    @DataProvider
    public Object[][] stops() {
        return new Object[][] {
            {"nothing is open", true, "0 799 800 801", "SERVE SERVE CLOSE END"},
            {
                "idle connections are closed once load balancers have noticed",
                true,
                "0o 800o 2649o 2650 2651",
                "SERVE LEAD_AWAY LEAD_AWAY ANSWER END"
            },
            {"already accepted connections are served first", true, "800 801o 2000o 2001", "CLOSE CLOSE CLOSE END"},
            {"such connections get their answer in time", true, "800 801o 2650o 2850o", "CLOSE CLOSE ANSWER CUT"},
            {
                "open requests are answered, then streams are cut",
                true,
                "0o 2650o 2849o 2850o 2900",
                "SERVE ANSWER ANSWER CUT END"
            },
            {
                "streams are cut later if other conductors are away",
                true,
                "0oa 2850oa 3149oa 3150oa 3349oa 3350oa 3360",
                "SERVE LEAD_AWAY LEAD_AWAY ANSWER ANSWER CUT END"
            },
            {"steps never go back", true, "2700o 2800oa 2860oa", "ANSWER ANSWER ANSWER"},
            {
                "streams that can't resume are not cut",
                false,
                "0o 2650o 3350o 9000o 9001",
                "SERVE ANSWER ANSWER ANSWER END"
            },
            {
                "a connection that is still open delays the end",
                true,
                "900o 1000o 1100 1101",
                "LEAD_AWAY LEAD_AWAY CLOSE END"
            },
            {"the end is final", true, "899 900 901o 5000o", "CLOSE END END END"},
        };
    }

    @Test(dataProvider = "stops")
    public void stopSteps(String name, boolean resume, String times, String steps) {
        Lifecycle lifecycle = new Lifecycle(STOP_TIMEOUT, resume);
        lifecycle.stop(Duration.ZERO);
        StringBuilder seen = new StringBuilder();
        for (String word : times.split(" ")) {
            seen.append(lifecycle.advanceTo(
                            Duration.ofMillis(Long.parseLong(word.replaceAll("[oa]", ""))),
                            word.contains("o"),
                            word.contains("a")))
                    .append(' ');
        }
        assertEquals(seen.toString().strip(), steps, name);
    }

    /**
     * Words: milliseconds and an event: d a drain, r its end, s a stop, S a successor serves, N it no longer does; without
     * an event (or with o: connections are open), the step and health (+ or -) are recorded and compared with the last column.
     */
    @DataProvider
    public Object[][] lives() {
        return new Object[][] {
            {"a drain stays", "10d 10 809 810 90000", "SERVE- SERVE- LEAD_AWAY- LEAD_AWAY-"},
            {"a second drain changes nothing", "10d 700d 810", "LEAD_AWAY-"},
            {"back to work", "10d 900 900r 901", "LEAD_AWAY- WORK+"},
            {"back to work before connections were closed", "10d 20 30r 40 5000", "SERVE- WORK+ WORK+"},
            {"drained again", "10d 900 900r 1000d 1000 1800", "LEAD_AWAY- SERVE- LEAD_AWAY-"},
            {"a stop goes on from a drain", "10d 2000s 2000o 4649o 4650o", "LEAD_AWAY- LEAD_AWAY- ANSWER-"},
            {"a stop of a drained conductor may end at once", "10d 2000s 2000 2001", "CLOSE- END-"},
            {"no way back from a stop", "10d 2000s 2001r 2001o", "LEAD_AWAY-"},
            {"no drain in a stop", "2000s 2001d 2010", "SERVE-"},
            {
                "a successor serves: idle connections are closed at once",
                "1000S 1000o 2000s 2000o 5149o 5150o 5350o 5360",
                "LEAD_AWAY+ LEAD_AWAY+ LEAD_AWAY+ ANSWER+ CUT+ END+"
            },
            {"a successor serves, and all clients are gone before the stop", "1000S 1500 2000s 2000", "LEAD_AWAY+ END+"
            },
            {"the successor dies: back to work", "1000S 1500o 2000N 2000o 3000s 3000o", "LEAD_AWAY+ WORK+ SERVE-"},
            {"a successor comes during the stop", "2000s 2100o 2200S 2200o", "SERVE- LEAD_AWAY+"},
            {
                "the successor dies during the stop: as if none had come",
                "2000S 2100s 2200N 2200o 4550o 4750o",
                "SERVE- LEAD_AWAY- ANSWER-"
            },
            {"drained, and a successor serves: still unhealthy", "10d 2000S 2000o", "LEAD_AWAY-"},
            {"drained, and the successor dies", "10d 2000S 2000o 2100N 2100o", "LEAD_AWAY- LEAD_AWAY-"},
        };
    }

    @Test(dataProvider = "lives")
    public void drainsAndStops(String name, String times, String steps) {
        Lifecycle lifecycle = new Lifecycle(STOP_TIMEOUT, true);
        StringBuilder seen = new StringBuilder();
        boolean successor = false;
        for (String word : times.split(" ")) {
            Duration now = Duration.ofMillis(Long.parseLong(word.replaceAll("[a-zA-Z]", "")));
            switch (word.charAt(word.length() - 1)) {
                case 'd' -> assertEquals(lifecycle.drain(now), !lifecycle.isStopping(), name);
                case 'r' -> assertEquals(lifecycle.rejoin(), !lifecycle.isStopping(), name);
                case 's' -> lifecycle.stop(now);
                case 'S' -> lifecycle.setSuccessor(successor = true);
                case 'N' -> lifecycle.setSuccessor(successor = false);
                default -> {
                    seen.append(lifecycle.advanceTo(now, word.endsWith("o"), false))
                            .append(lifecycle.isHealthy() ? "+ " : "- ");
                    assertTrue(!successor || !lifecycle.isListening(), name + ": both processes listen");
                }
            }
        }
        assertEquals(seen.toString().strip(), steps, name);
    }

    /** In any sequence: steps never go back, no end with open connections, and streams are cut in time if resumable. */
    @Test
    public void stepsNeverGoBackAndOpenConnectionsDelayTheEnd() {
        Random random = new Random(5);
        for (int run = 0; run < 2000; run++) {
            boolean resume = random.nextBoolean();
            Lifecycle lifecycle = new Lifecycle(STOP_TIMEOUT, resume);
            lifecycle.stop(Duration.ZERO);
            boolean listens = true;
            Step last = Step.SERVE;
            for (int ms = 0; ms < 4000 && last != Step.END; ms += random.nextInt(400)) {
                boolean open = random.nextInt(4) > 0;
                Step next = lifecycle.advanceTo(Duration.ofMillis(ms), open, random.nextBoolean());
                assertTrue(next.compareTo(last) >= 0);
                assertTrue(next != Step.END || !open && !listens && ms >= 800);
                listens = lifecycle.isListening();
                assertTrue(next != Step.CUT || resume);
                assertTrue(ms < 3350 || !resume || next == Step.CUT || next == Step.END);
                last = next;
            }
        }
    }

    /** Milliseconds until the kill, the final answers and the cut, and the latter two if other conductors are away. */
    @DataProvider
    public Object[][] kills() {
        return new Object[][] {
            {40_000, 38_950, 39_150, 39_450, 39_650},
            {3700, 2650, 2850, 3150, 3350},
            {2200, 1150, 1350, 1650, 1850},
            {1850, 800, 1000, 1300, 1500},
            {1700, 800, 1000, 1150, 1350},
            {1200, 650, 850, 650, 850},
            {700, 150, 350, 150, 350}
        };
    }

    @Test(dataProvider = "kills")
    public void allIsAnsweredAndCutBeforeTheKillHoweverSoonItComes(
            int kill, int answers, int cut, int lateAnswers, int lateCut) {
        for (boolean away : new boolean[] {false, true}) {
            Lifecycle lifecycle = new Lifecycle(Duration.ofMillis(kill), true);
            lifecycle.stop(Duration.ZERO);
            int from = away ? lateAnswers : answers;
            int to = away ? lateCut : cut;
            for (int[] row : new int[][] {{from - 1, 0}, {from, 1}, {to - 1, 1}, {to, 2}}) {
                Step step = lifecycle.advanceTo(Duration.ofMillis(row[0]), true, away);
                assertEquals(
                        step,
                        row[1] == 2
                                ? Step.CUT
                                : row[1] == 1 ? Step.ANSWER : row[0] < 800 ? Step.SERVE : Step.LEAD_AWAY);
            }
        }
    }

    /** A stream that can't be cut may outlast the stop, so none is started that would have to end before the kill. */
    @Test
    public void nothingIsBegunLateInAStopWhereStreamsCantResume() {
        for (boolean resume : new boolean[] {false, true}) {
            Lifecycle lifecycle = new Lifecycle(STOP_TIMEOUT, resume);
            lifecycle.drain(Duration.ZERO);
            assertTrue(lifecycle.acceptsRequests(Duration.ofSeconds(90)));
            lifecycle.stop(Duration.ofSeconds(90));
            assertTrue(lifecycle.acceptsRequests(Duration.ofMillis(90_599)));
            assertEquals(lifecycle.acceptsRequests(Duration.ofMillis(90_600)), resume);
        }
    }

    /** Releases that no server confirmed once kept a process running until the kill. */
    @Test
    public void aProcessThatOwesNoAnswerEndsBeforeTheKill() {
        Lifecycle lifecycle = new Lifecycle(STOP_TIMEOUT, true);
        lifecycle.stop(Duration.ZERO);
        lifecycle.advanceTo(Duration.ofMillis(3550), true, false);
        assertFalse(lifecycle.mustExit(Duration.ofMillis(3699)), "clients are connected");
        lifecycle.advanceTo(Duration.ofMillis(3550), false, false);
        assertFalse(lifecycle.mustExit(Duration.ofMillis(3549)));
        assertTrue(lifecycle.mustExit(Duration.ofMillis(3550)));
    }

    /** A process that waited for releases until 0.15 s before the kill was still there at the kill on a busy machine. */
    @Test
    public void aProcessThatWaitsForReleasesHasTimeForItsExit() {
        Lifecycle lifecycle = new Lifecycle(STOP_TIMEOUT, true);
        lifecycle.stop(Duration.ZERO);
        lifecycle.advanceTo(Duration.ofMillis(1000), false, false);
        lifecycle.advanceTo(Duration.ofMillis(1020), false, false);
        assertFalse(lifecycle.mustExit(Duration.ofMillis(3399)));
        assertTrue(lifecycle.mustExit(Duration.ofMillis(3400)));
    }

    @Test
    public void tooShortAStopTimeoutIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> new Lifecycle(Duration.ofMillis(699), true));
    }
}
