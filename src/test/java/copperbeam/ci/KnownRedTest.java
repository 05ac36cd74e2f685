package copperbeam.ci;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** How `.ci/run` applies KNOWN-RED.txt, with a stand-in for Maven that writes prepared reports and prints a log. */
public class KnownRedTest {
    private static final String CLOSING = "[ERROR] Tests run: 3, Failures: 1, Errors: 0, Skipped: 0";
    private static final String LINE = "a.FirstTest#two | mvn -Dtest=FirstTest test, seed 3 | never done | issue 7\n";
    private static final String ONE = passes("one");
    private static final String TWO = fails("two");

    private static String passes(String name) {
        return "<testcase name=\"" + name + "\" classname=\"a.FirstTest\" time=\"0\"/>\n";
    }

    private static String ends(String name, String how) {
        return "<testcase name=\"" + name + "\" classname=\"a.FirstTest\" time=\"0\">\n" + how + "\n</testcase>\n";
    }

    private static String fails(String name) {
        return ends(
                name,
                "<failure message=\"a &lt; b\" type=\"E\"><![CDATA[E: <error/>\n<testcase name=\"x\">]]></failure>");
    }

    private static String report(String... cases) {
        String all = String.join("", cases);
        return suite(all.split("<testcase name=\"[^x]").length - 1, all.split("<failure ").length - 1, all);
    }

    private static String suite(int tests, int failures, String cases) {
        return "<?xml version=\"1.0\"?>\n<testsuite name=\"a.FirstTest\" tests=\"" + tests
                + "\" errors=\"0\" skipped=\"0\" failures=\"" + failures + "\">\n" + cases + "</testsuite>\n";
    }

    @DataProvider
    public Object[][] rows() {
        String both = report(ONE, TWO);
        String rows = report(ONE, fails("two(int)[1]"), passes("two(int)[2]"));
        return new Object[][] {
            // KNOWN-RED.txt or null, Maven's report or null, Maven's exit status, expected exit status, expected output
            {null, both, 0, 0, CLOSING},
            {null, both, 1, 1, CLOSING},
            {"", report(ONE), 0, 0, CLOSING},
            {"", both, 0, 1, "fails and is not listed: a.FirstTest#two\n"},
            {"# why\n\n" + LINE, both, 0, 0, "known red, passed over: " + LINE},
            {LINE, report(ONE, passes("two")), 0, 1, "listed, but passes: a.FirstTest#two\n"},
            {LINE, report(TWO, fails("one")), 0, 1, "fails and is not listed: a.FirstTest#one\n"},
            {
                LINE,
                report(TWO, ends("one", "<error type=\"E\"/>")).replace("errors=\"0", "errors=\"1"),
                0,
                1,
                "fails and is not listed: a.FirstTest#one\n"
            },
            {LINE, report(TWO, fails("")), 0, 1, "not listed: a.FirstTest#\n"},
            {
                LINE,
                report(TWO, ends("one", "<system-out><![CDATA[<failure ]]]]><![CDATA[> <error/>]]></system-out>"))
                        .replace("failures=\"2", "failures=\"1"),
                0,
                0,
                "passed over"
            },
            {LINE, report(ONE), 0, 1, "listed, but did not run: a.FirstTest#two\n"},
            {LINE, report(ONE, ends("two", "<skipped/>")), 0, 1, "listed, but is skipped: a.FirstTest#two\n"},
            {LINE.replace("First", "Second"), both, 0, 1, "did not run: a.SecondTest#two\n"},
            // parameterised tests
            {LINE.replace("two", "two[1]"), rows, 0, 0, "passed over: a.FirstTest#two[1] "},
            {LINE.replace("two", "two[2]"), rows, 0, 1, "fails and is not listed: a.FirstTest#two(int)[1]\n"},
            {LINE, rows, 0, 1, "listed, but passes: a.FirstTest#two(int)[2]\n"},
            {LINE, report(fails("two(int)[1]"), fails("two(int)[12]")), 0, 0, "passed over: " + LINE},
            {
                LINE.replace("two", "two[1]"),
                report(fails("two(int)[1]"), fails("two(int)[12]")),
                0,
                1,
                "not listed: a.FirstTest#two(int)[12]\n"
            },
            // other failures
            {LINE, null, 1, 1, "[ERROR] COMPILATION ERROR"},
            {LINE, both, 1, 1, CLOSING},
            {LINE, null, 0, 1, "no report of a.FirstTest\n"},
            {LINE, both.replace("</testsuite>", ""), 0, 1, "not whole: "},
            {LINE, "", 0, 1, "not whole: "},
            {LINE, suite(3, 1, ONE + TWO), 0, 1, "says 3 tests, 1 failed, and has 2, 1"},
            {LINE, suite(2, 2, ONE + TWO), 0, 1, "says 2 tests, 2 failed, and has 2, 1"},
            // format of the list
            {LINE + LINE.replace("#two", "#one"), report(TWO, fails("one")), 0, 0, "passed over: a.FirstTest#one "},
            {
                LINE + LINE.replace("#two", "#b") + LINE.replace("#two", "#c") + LINE.replace("#two", "#d"),
                report(TWO, fails("b"), fails("c"), fails("d")),
                0,
                0,
                "passed over: a.FirstTest#d "
            },
            {LINE + LINE, null, -1, 1, "KNOWN-RED.txt:2: listed twice"},
            {"# why\n\n" + LINE.replace("issue 7", "7"), null, -1, 1, "KNOWN-RED.txt:3: names no issue: "},
            {LINE.replace("issue 7", "issue 7 or 8"), null, -1, 1, "KNOWN-RED.txt:1: names no issue: "},
            {LINE.replace("issue 7", "issue 7 | 8"), null, -1, 1, "KNOWN-RED.txt:1: not of the form"},
            {LINE.replace("| never done ", ""), null, -1, 1, "KNOWN-RED.txt:1: not of the form"},
            {LINE.replace("never done", " "), null, -1, 1, "KNOWN-RED.txt:1: does not say what was seen: "},
            {LINE.replace("seed 3", "often"), null, -1, 1, "KNOWN-RED.txt:1: has no command with its seed: "},
            {LINE.replace("#two", ""), null, -1, 1, "KNOWN-RED.txt:1: names no test as Class#method: "},
            {LINE.replace("#two", "#t*"), null, -1, 1, "KNOWN-RED.txt:1: names no test as Class#method: "},
            {" " + LINE, null, -1, 1, "KNOWN-RED.txt:1: names no test as Class#method: "},
        };
    }

    /** A failing run passes only if all failures are listed. Maven status -1: Maven must not be called. */
    @Test(dataProvider = "rows")
    public void onlyWhatIsListedMayFail(String list, String report, int maven, int status, String says)
            throws Exception {
        Path root = root(list, report, maven);
        String said = run(root, status);
        assertTrue(said.contains(says), said);
        assertEquals(Files.exists(root.resolve("called")), maven >= 0, said);
        if (maven >= 0) {
            assertEquals(
                    Files.readString(root.resolve("called")),
                    "-B verify" + (list == null ? "" : " -Dmaven.test.failure.ignore=true") + "\n");
        }
        if (report != null) {
            assertTrue(said.endsWith(CLOSING + "\n"), said);
        }
    }

    /** If Maven ignores test failures, it only logs that the tests did not end in time. */
    @Test
    public void testsThatDontEndInTimeFail() throws Exception {
        Path root = root(LINE, report(ONE, TWO), 0);
        Files.writeString(root.resolve("log"), "[ERROR] There was a timeout in the fork\n" + CLOSING + "\n");
        assertTrue(run(root, 1).contains("the tests did not end in time"));
    }

    /** A test process may end early, so that later test classes don't run, and leave only a failure that is listed. */
    @Test
    public void aClassWithoutAReportFails() throws Exception {
        Path root = root(LINE, report(ONE, TWO), 0);
        Files.createFile(root.resolve("src/test/java/a/LostTest.java"));
        assertTrue(run(root, 1).contains("no report of a.LostTest"));
    }

    /** Reports left by an earlier run are ignored. */
    @Test
    public void oldReportsDontCount() throws Exception {
        Path root = root(LINE, null, 0);
        Path old = Files.createDirectories(root.resolve("target/surefire-reports"));
        Files.writeString(old.resolve("TEST-a.FirstTest.xml"), report(ONE, TWO));
        assertTrue(run(root, 1).contains("no report of a.FirstTest"));
    }

    private static Path root(String list, String report, int maven) throws IOException {
        Path root = Files.createTempDirectory("root");
        Files.createDirectories(root.resolve(".ci"));
        for (String name : List.of(".ci/run", ".ci/known-red")) {
            Files.copy(Path.of(name), root.resolve(name));
        }
        Files.createDirectories(root.resolve("src/test/java/a"));
        Files.createFile(root.resolve("src/test/java/a/FirstTest.java"));
        Files.createFile(root.resolve("src/test/java/a/StandIn.java"));
        if (list != null) {
            Files.writeString(root.resolve("KNOWN-RED.txt"), list);
        }
        Files.createDirectories(root.resolve("made"));
        if (report != null) {
            Files.writeString(root.resolve("made/TEST-a.FirstTest.xml"), report);
        }
        Files.writeString(
                root.resolve("log"),
                report == null ? "[ERROR] COMPILATION ERROR\n" : "[INFO] Tests run: 2\n" + CLOSING + "\n");
        Path mvn = root.resolve("bin/mvn");
        Files.createDirectories(mvn.getParent());
        Files.writeString(
                mvn,
                "#!/bin/sh\necho \"$@\" > called\nmkdir -p target\ncp -r made target/surefire-reports\ncat log\n"
                        + "echo done\nexit " + maven + "\n");
        assertTrue(mvn.toFile().setExecutable(true));
        return root;
    }

    private static String run(Path root, int status) throws Exception {
        ProcessBuilder run = new ProcessBuilder("sh", root.resolve(".ci/run").toString()).redirectErrorStream(true);
        run.environment().merge("PATH", root.resolve("bin").toString(), (old, bin) -> bin + ":" + old);
        run.redirectOutput(root.resolve("said").toFile());
        Process process = run.start();
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        String said = Files.readString(root.resolve("said"));
        assertEquals(process.exitValue(), status, said);
        return said;
    }
}
