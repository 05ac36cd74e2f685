package copperbeam.simhost;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class SimHostTest {
    private static final String START = """
            {"frame":{"wall_s":5.5,"frame":1}}
            {"start":{"i":3,"seed":9,"config":{"balancers":1,"kinds":["a","b"],"surprise":1,
            "services":[{"name":"c","promise_s":1,"give_up_s":8,"semantics":"safe","worth":1}],
            "limits":{"send_cap":4,"cancel":true},"rules":{},"extra":{"role_by_kind":["read","write"],"release_s":0.5}}}}
            {"update":{"i":3,"revision":1,"mode":1,"hosts":[{"engine":"x:1","model":"a","stage_state":1,"weight":1},
            {"engine":"y:1","model":"b","stage_state":1,"weight":1}]}}
            {"over_to_you":{}}
            """.replace(",\n", ",");

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String input) throws Exception {
        return SimHost.run(
                new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                out,
                new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    @Test
    void aRequestIsReadThenWritten() throws Exception {
        assertEquals(0, run(START + """
                {"frame":{"wall_s":6,"frame":2}}
                {"inbound":{"i":3,"call":4503599627370495,"lane":"c","session":"s","valid_until_s":12,"input_len":900}}
                {"over_to_you":{}}
                {"frame":{"wall_s":6.1,"frame":3}}
                {"ended":{"i":3,"call":4503599627370495,"engine":"x:1","verdict":"handover","delay_seen_s":0.1,"report":{"x0":0.1}}}
                {"over_to_you":{}}
                """));
        String[] lines = out.toString(StandardCharsets.UTF_8).split("\n");
        assertEquals("{\"eor\":{\"frame\":1}}", lines[0]);
        String output = out.toString(StandardCharsets.UTF_8);
        assertTrue(
                output.contains("{\"attempt\":{\"i\":3,\"call\":4503599627370495,\"engine\":\"x:1\",\"try_until_s\":"));
        assertTrue(output.indexOf("\"engine\":\"y:1\"") > output.indexOf("{\"eor\":{\"frame\":2}}"));
        assertEquals("{\"eor\":{\"frame\":3}}", lines[lines.length - 1]);
        assertEquals("", err.toString(StandardCharsets.UTF_8));
    }

    @Test
    void endOfInputExitsNormally() throws Exception {
        assertEquals(0, run(""));
        assertEquals(0, run("{\"frame\":{\"wall_s\":1,\"frame\":1}}\n{\"over_to_you\":{}}\n"));
        assertEquals("{\"eor\":{\"frame\":1}}\n", out.toString(StandardCharsets.UTF_8));
    }

    private void assertRejected(String line, String problem) throws Exception {
        out.reset();
        err.reset();
        assertEquals(1, run(START + "{\"frame\":{\"wall_s\":6,\"frame\":2}}\n" + line + "\n"));
        assertEquals("{\"eor\":{\"frame\":1}}\n", out.toString(StandardCharsets.UTF_8));
        String message = err.toString(StandardCharsets.UTF_8);
        assertEquals(1, message.lines().count(), message);
        assertTrue(message.contains("line 6") && message.contains(problem), message);
    }

    @Test
    void errorsNameTheLineAndTheProblem() throws Exception {
        assertRejected("{\"fired\":", "bad JSON");
        assertRejected("[1]", "not an object");
        assertRejected("{\"fired\":{\"i\":3,\"tag\":\"t\"}} {}", "more than one value");
        assertRejected("{\"a\":{},\"b\":{}}", "one name");
        assertRejected("{\"surprise\":{\"i\":3}}", "unknown event 'surprise'");
        assertRejected("{\"fired\":{\"i\":3}}", "field 'tag' is missing");
        assertRejected("{\"fired\":{\"i\":\"3\",\"tag\":\"t\"}}", "field 'i' is not a number");
        assertRejected("{\"fired\":{\"i\":8,\"tag\":\"t\"}}", "instance 8");
        assertRejected(
                "{\"ended\":{\"i\":3,\"call\":1,\"engine\":\"x:1\",\"verdict\":\"Odd\"}}", "unknown verdict 'Odd'");
        assertRejected("{\"client_gone\":{\"i\":3,\"call\":1.5}}", "not a whole number");
        assertRejected("{\"update\":{\"i\":3,\"mode\":7}}", "unknown list mode '7'");
    }
}
