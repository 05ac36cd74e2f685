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
    private static final String MAVEN_SUMMARY = "[ERROR] Tests run: 3, Failures: 1, Errors: 0, Skipped: 0";
    private static final String LISTED_LINE =
            "a.FirstTest#two | mvn -Dtest=FirstTest test, seed 3 | never done | issue 7\n";
    private static final String FLAKY_LINE = LISTED_LINE.replace("never", "flaky: never");
    private static final String PASSING_ONE = passingCase("one");
    private static final String FAILING_TWO = failingCase("two");

    private static String passingCase(String name) {
        return "<testcase name=\"" + name + "\" classname=\"a.FirstTest\" time=\"0\"/>\n";
    }

    private static String testCase(String name, String result) {
        return "<testcase name=\"" + name + "\" classname=\"a.FirstTest\" time=\"0\">\n" + result + "\n</testcase>\n";
    }

    private static String failingCase(String name) {
        return testCase(
                name,
                "<failure message=\"a &lt; b\" type=\"E\"><![CDATA[E: <error/>\n<testcase name=\"x\">]]></failure>");
    }

    private static String report(String... cases) {
        String joined = String.join("", cases);
        return suite(joined.split("<testcase name=\"[^x]").length - 1, joined.split("<failure ").length - 1, joined);
    }

    private static String suite(int tests, int failures, String cases) {
        return "<?xml version=\"1.0\"?>\n<testsuite name=\"a.FirstTest\" tests=\"" + tests
                + "\" errors=\"0\" skipped=\"0\" failures=\"" + failures + "\">\n" + cases + "</testsuite>\n";
    }

    @DataProvider
    public Object[][] rows() {
        String both = report(PASSING_ONE, FAILING_TWO);
        String parameterised = report(PASSING_ONE, failingCase("two(int)[1]"), passingCase("two(int)[2]"));
        return new Object[][] {
            // KNOWN-RED.txt or null, Maven's report or null, Maven's exit status, expected exit status, expected output
            {null, both, 0, 0, MAVEN_SUMMARY},
            {null, both, 1, 1, MAVEN_SUMMARY},
            {"", report(PASSING_ONE), 0, 0, MAVEN_SUMMARY},
            {"", both, 0, 1, "fails and is not listed: a.FirstTest#two\n"},
            {"# why\n\n" + LISTED_LINE, both, 0, 0, "known red, passed over: " + LISTED_LINE},
            {LISTED_LINE, report(PASSING_ONE, passingCase("two")), 0, 1, "listed, but passes: a.FirstTest#two\n"},
            {LISTED_LINE, report(FAILING_TWO, failingCase("one")), 0, 1, "fails and is not listed: a.FirstTest#one\n"},
            {
                LISTED_LINE,
                report(FAILING_TWO, testCase("one", "<error type=\"E\"/>")).replace("errors=\"0", "errors=\"1"),
                0,
                1,
                "fails and is not listed: a.FirstTest#one\n"
            },
            {LISTED_LINE, report(FAILING_TWO, failingCase("")), 0, 1, "not listed: a.FirstTest#\n"},
            {
                LISTED_LINE,
                report(
                                FAILING_TWO,
                                testCase(
                                        "one",
                                        "<system-out><![CDATA[<failure ]]]]><![CDATA[> <error/>]]></system-out>"))
                        .replace("failures=\"2", "failures=\"1"),
                0,
                0,
                "passed over"
            },
            {LISTED_LINE, report(PASSING_ONE), 0, 1, "listed, but did not run: a.FirstTest#two\n"},
            {
                LISTED_LINE,
                report(PASSING_ONE, testCase("two", "<skipped/>")),
                0,
                1,
                "listed, but is skipped: a.FirstTest#two\n"
            },
            {LISTED_LINE.replace("First", "Second"), both, 0, 1, "did not run: a.SecondTest#two\n"},
            // flaky tests
            {FLAKY_LINE, both, 0, 0, "flaky, failed this time: " + FLAKY_LINE},
            {FLAKY_LINE, report(PASSING_ONE, passingCase("two")), 0, 0, "flaky, passed this time: " + FLAKY_LINE},
            {FLAKY_LINE, report(FAILING_TWO, failingCase("one")), 0, 1, "fails and is not listed: a.FirstTest#one\n"},
            {FLAKY_LINE, report(PASSING_ONE), 0, 1, "listed, but did not run: a.FirstTest#two\n"},
            {
                FLAKY_LINE,
                report(PASSING_ONE, testCase("two", "<skipped/>")),
                0,
                1,
                "listed, but is skipped: a.FirstTest#two\n"
            },
            {
                FLAKY_LINE + FLAKY_LINE.replace("two", "three") + FLAKY_LINE.replace("two", "four"),
                null,
                -1,
                1,
                "KNOWN-RED.txt:3: more than 2 flaky tests: "
            },
            {LISTED_LINE.replace("never", "not flaky: never"), report(PASSING_ONE, passingCase("two")), 0, 1, "passes"},
            // parameterised tests
            {LISTED_LINE.replace("two", "two[1]"), parameterised, 0, 0, "passed over: a.FirstTest#two[1] "},
            {
                LISTED_LINE.replace("two", "two[2]"),
                parameterised,
                0,
                1,
                "fails and is not listed: a.FirstTest#two(int)[1]\n"
            },
            {LISTED_LINE, parameterised, 0, 1, "listed, but passes: a.FirstTest#two(int)[2]\n"},
            {
                LISTED_LINE,
                report(failingCase("two(int)[1]"), failingCase("two(int)[12]")),
                0,
                0,
                "passed over: " + LISTED_LINE
            },
            {
                LISTED_LINE.replace("two", "two[1]"),
                report(failingCase("two(int)[1]"), failingCase("two(int)[12]")),
                0,
                1,
                "not listed: a.FirstTest#two(int)[12]\n"
            },
            // other failures
            {LISTED_LINE, null, 1, 1, "[ERROR] COMPILATION ERROR"},
            {LISTED_LINE, both, 1, 1, MAVEN_SUMMARY},
            {LISTED_LINE, null, 0, 1, "no report of a.FirstTest\n"},
            {LISTED_LINE, both.replace("</testsuite>", ""), 0, 1, "not whole: "},
            {LISTED_LINE, "", 0, 1, "not whole: "},
            {LISTED_LINE, suite(3, 1, PASSING_ONE + FAILING_TWO), 0, 1, "says 3 tests, 1 failed, and has 2, 1"},
            {LISTED_LINE, suite(2, 2, PASSING_ONE + FAILING_TWO), 0, 1, "says 2 tests, 2 failed, and has 2, 1"},
            // format of the list
            {
                LISTED_LINE + LISTED_LINE.replace("#two", "#one"),
                report(FAILING_TWO, failingCase("one")),
                0,
                0,
                "passed over: a.FirstTest#one "
            },
            {
                LISTED_LINE
                        + LISTED_LINE.replace("#two", "#b")
                        + LISTED_LINE.replace("#two", "#c")
                        + LISTED_LINE.replace("#two", "#d"),
                report(FAILING_TWO, failingCase("b"), failingCase("c"), failingCase("d")),
                0,
                0,
                "passed over: a.FirstTest#d "
            },
            {LISTED_LINE + LISTED_LINE, null, -1, 1, "KNOWN-RED.txt:2: listed twice"},
            {"# why\n\n" + LISTED_LINE.replace("issue 7", "7"), null, -1, 1, "KNOWN-RED.txt:3: names no issue: "},
            {LISTED_LINE.replace("issue 7", "issue 7 or 8"), null, -1, 1, "KNOWN-RED.txt:1: names no issue: "},
            {LISTED_LINE.replace("issue 7", "issue 7 | 8"), null, -1, 1, "KNOWN-RED.txt:1: not of the form"},
            {LISTED_LINE.replace("| never done ", ""), null, -1, 1, "KNOWN-RED.txt:1: not of the form"},
            {LISTED_LINE.replace("never done", " "), null, -1, 1, "KNOWN-RED.txt:1: does not say what was seen: "},
            {LISTED_LINE.replace("seed 3", "often"), null, -1, 1, "KNOWN-RED.txt:1: has no command with its seed: "},
            {LISTED_LINE.replace("#two", ""), null, -1, 1, "KNOWN-RED.txt:1: names no test as Class#method: "},
            {LISTED_LINE.replace("#two", "#t*"), null, -1, 1, "KNOWN-RED.txt:1: names no test as Class#method: "},
            {" " + LISTED_LINE, null, -1, 1, "KNOWN-RED.txt:1: names no test as Class#method: "},
        };
    }

    /** A failing run passes only if all failures are listed. Maven status -1: Maven must not be called. */
    @Test(dataProvider = "rows")
    public void onlyWhatIsListedMayFail(String list, String report, int mavenStatus, int status, String expectedOutput)
            throws Exception {
        Path root = makeRoot(list, report, mavenStatus);
        String output = runCi(root, status);
        assertTrue(output.contains(expectedOutput), output);
        assertEquals(Files.exists(root.resolve("called")), mavenStatus >= 0, output);
        if (mavenStatus >= 0) {
            assertEquals(
                    Files.readString(root.resolve("called")),
                    "-B verify" + (list == null ? "" : " -Dmaven.test.failure.ignore=true") + "\n");
        }
        if (report != null) {
            assertTrue(output.endsWith(MAVEN_SUMMARY + "\n"), output);
        }
    }

    /** If Maven ignores test failures, it only logs that the tests did not end in time. */
    @Test
    public void testsThatDontEndInTimeFail() throws Exception {
        Path root = makeRoot(LISTED_LINE, report(PASSING_ONE, FAILING_TWO), 0);
        Files.writeString(root.resolve("log"), "[ERROR] There was a timeout in the fork\n" + MAVEN_SUMMARY + "\n");
        assertTrue(runCi(root, 1).contains("the tests did not end in time"));
    }

    /** A test process may end early, so that later test classes don't run, and leave only a failure that is listed. */
    @Test
    public void aClassWithoutAReportFails() throws Exception {
        Path root = makeRoot(LISTED_LINE, report(PASSING_ONE, FAILING_TWO), 0);
        Files.createFile(root.resolve("src/test/java/a/LostTest.java"));
        assertTrue(runCi(root, 1).contains("no report of a.LostTest"));
    }

    /** Reports left by an earlier run are ignored. */
    @Test
    public void oldReportsDontCount() throws Exception {
        Path root = makeRoot(LISTED_LINE, null, 0);
        Path old = Files.createDirectories(root.resolve("target/surefire-reports"));
        Files.writeString(old.resolve("TEST-a.FirstTest.xml"), report(PASSING_ONE, FAILING_TWO));
        assertTrue(runCi(root, 1).contains("no report of a.FirstTest"));
    }

    private static Path makeRoot(String list, String report, int mavenStatus) throws IOException {
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
                report == null ? "[ERROR] COMPILATION ERROR\n" : "[INFO] Tests run: 2\n" + MAVEN_SUMMARY + "\n");
        Path mvn = root.resolve("bin/mvn");
        Files.createDirectories(mvn.getParent());
        Files.writeString(
                mvn,
                "#!/bin/sh\necho \"$@\" > called\nmkdir -p target\ncp -r made target/surefire-reports\ncat log\n"
                        + "echo done\nexit " + mavenStatus + "\n");
        assertTrue(mvn.toFile().setExecutable(true));
        return root;
    }

    private static String runCi(Path root, int status) throws Exception {
        ProcessBuilder builder =
                new ProcessBuilder("sh", root.resolve(".ci/run").toString()).redirectErrorStream(true);
        builder.environment().merge("PATH", root.resolve("bin").toString(), (old, bin) -> bin + ":" + old);
        builder.redirectOutput(root.resolve("said").toFile());
        Process process = builder.start();
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        String output = Files.readString(root.resolve("said"));
        assertEquals(process.exitValue(), status, output);
        return output;
    }
}
