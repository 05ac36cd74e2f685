package copperbeam.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;

import copperbeam.Api.Report;
import copperbeam.protocol.discovery.ServerList;
import copperbeam.protocol.platform.PlatformHeaders;
import copperbeam.protocol.platform.PlatformHeaders.Attrs;
import copperbeam.protocol.platform.PlatformStatus;
import copperbeam.routing.Connector.AnswerKind;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the parsers of headers, status codes, event streams and server lists with tables of cases. */
public class ParsersTest {
    @DataProvider
    public Object[][] timeouts() {
        return new Object[][] {
            {"4800m", Duration.ofMillis(4800)},
            {"250u", Duration.ofNanos(250_000)},
            {" 1m ", Duration.ofMillis(1)},
            {"86400000m", Duration.ofDays(1)},
            {"86400001m", null},
            {null, null},
            {"", null},
            {"m", null},
            {"12", null},
            {"-5m", null},
            {"0m", null},
            {"1.5m", null},
            {"99999999999999999999m", null},
            {"999999999999m", null},
            {"5s", null},
            {"\u0665m", null},
        };
    }

    @Test(dataProvider = "timeouts")
    public void timeout(String value, Duration expected) throws Exception {
        if (expected == null) {
            assertThrows(BadRequest.class, () -> PlatformHeaders.parseTimeout(value));
        } else {
            assertEquals(PlatformHeaders.parseTimeout(value), expected);
        }
    }

    @DataProvider
    public Object[][] attrs() {
        return new Object[][] {
            {"prefix=5c,prompt_len=5120,prefix_len=2048,max_out=800", new Attrs("5c", 5120, 2048, 800)},
            {" max_out = 7 , other=x", new Attrs(null, 0, 0, 7)},
            {null, new Attrs(null, 0, 0, 0)},
            {"", new Attrs(null, 0, 0, 0)},
            {"prefix=", new Attrs(null, 0, 0, 0)},
            {"prompt_len", null},
            {"prompt_len=-1", null},
            {"max_out=1e3", null},
            {"=5", null},
        };
    }

    @Test(dataProvider = "attrs")
    public void attrs(String value, Attrs expected) throws Exception {
        if (expected == null) {
            assertThrows(BadRequest.class, () -> PlatformHeaders.parseAttrs(value));
        } else {
            assertEquals(PlatformHeaders.parseAttrs(value), expected);
        }
    }

    @DataProvider
    public Object[][] reports() {
        double absent = Double.NaN;
        return new Object[][] {
            {"inflight=7,queue=2,util=0.61", new Report(0.61, 2, 7, absent, absent)},
            {"active=3,x0=0.5", new Report(absent, absent, 3, 0.5, absent)},
            {"x1=4, inflight=junk, x0=NaN", new Report(absent, absent, absent, absent, 4)},
            {"", null},
            {null, null},
            {"inflight", null},
            {"other=5", null},
        };
    }

    @Test(dataProvider = "reports")
    public void report(String value, Report expected) {
        assertEquals(PlatformHeaders.parseReport(value), expected);
    }

    @DataProvider
    public Object[][] words() {
        return new Object[][] {
            {200, false, AnswerKind.STREAM},
            {202, false, AnswerKind.ERROR},
            {410, true, AnswerKind.STATE_MISSING},
            {410, false, AnswerKind.ERROR},
            {503, true, AnswerKind.TURNED_AWAY},
            {504, true, AnswerKind.TURNED_AWAY},
            {503, false, AnswerKind.ERROR},
            {504, false, AnswerKind.ERROR},
            {500, true, AnswerKind.ERROR},
            {404, false, AnswerKind.ERROR},
        };
    }

    @Test(dataProvider = "words")
    public void words(int status, boolean notProcessed, AnswerKind expected) {
        assertEquals(PlatformStatus.classifyAttempt(false, status, notProcessed), expected);
        // for a reader, only 200 and 202 differ
        assertEquals(
                PlatformStatus.classifyAttempt(true, status, notProcessed),
                status == 200 ? AnswerKind.ERROR : status == 202 ? AnswerKind.READ : expected);
    }

    @DataProvider
    public Object[][] reads() {
        return new Object[][] {
            {"{\"cached_tokens\":4096}", 4096.0}, {" {\"x\":[], \"cached_tokens\" : 0}\n", 0.0}, {"{}", Double.NaN},
            {"", Double.NaN}, {"[1]", Double.NaN}, {"{\"cached_tokens\":", Double.NaN},
            {"{\"cached_tokens\":\"many\"}", Double.NaN}, {"{\"cached_tokens\":null}", Double.NaN},
        };
    }

    @Test(dataProvider = "reads")
    public void reads(String body, double expected) {
        assertEquals(PlatformStatus.cachedTokens(body), expected);
    }

    @DataProvider
    public Object[][] streams() {
        return new Object[][] {
            {"data: 1\n\ndata: 2\n\n", List.of("data: 1\n\n", "data: 2\n\n")},
            {"data: 1\r\n\r\ndata", List.of("data: 1\r\n\r\n", "data")},
            {"data: 1\n\n\r\n\nid: 2\n\n", List.of("data: 1\n\n", "\r\n\nid: 2\n\n")},
            {"event: a\nretry\n\n\n", List.of("event: a\nretry\n\n", "\n")},
            {": note\n\ndata: a\ndata: b\n\n", List.of(": note\n\n", "data: a\ndata: b\n\n")},
            {"", List.of()},
        };
    }

    /** The events don't depend on how the stream was split into reads. */
    @Test(dataProvider = "streams")
    public void events(String stream, List<String> expected) {
        byte[] bytes = stream.getBytes(StandardCharsets.UTF_8);
        for (int splitAt = 0; splitAt <= bytes.length; splitAt++) {
            List<String> events = new ArrayList<>();
            EventSplitter splitter = new EventSplitter();
            splitter.accept(ByteBuffer.wrap(bytes, 0, splitAt), e -> events.add(new String(e, StandardCharsets.UTF_8)));
            splitter.accept(
                    ByteBuffer.wrap(bytes, splitAt, bytes.length - splitAt),
                    e -> events.add(new String(e, StandardCharsets.UTF_8)));
            splitter.finish(e -> events.add(new String(e, StandardCharsets.UTF_8)));
            assertEquals(events, expected);
        }
    }

    @DataProvider
    public Object[][] noEvents() {
        return new Object[][] {
            {"what\n"},
            {"data: 1\n2f\r\n"},
            {"\r\n2f\r\n"},
            {"dat: 1\n"},
            {"events: 1\n"},
            {"data: " + "x".repeat(40_000)},
            {" data: 1\n"},
            {"dat"},
            {"datx"},
            {"data: 1\nz"},
            {"data\rx"},
            {"\rx"},
        };
    }

    /** Noise from a server with broken chunk framing is not passed on as an event. */
    @Test(dataProvider = "noEvents")
    public void whatIsNoEventEndsTheStream(String text) {
        EventSplitter splitter = new EventSplitter();
        List<byte[]> events = new ArrayList<>();
        boolean accepted = splitter.accept(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), events::add);
        assertFalse(accepted && splitter.finish(events::add));
        assertEquals(events.size(), 0);
    }

    @DataProvider
    public Object[][] progressOfText() {
        return new Object[][] {
            {"data: {\"a\":1}\n\n", 15},
            {"data:[DONE]\r\n\r\n", 15},
            {"data: [DONE] ", 12},
            {"data: [DATA", 8},
            {"data:  {", 6},
            {"data: xx\ndata: x\n", 6},
            {"data: {\ndata: x\n", 14},
            {": note\n\n", 8},
            {"\n\r\n\n", 0},
            {"id: 7\n", 0},
            {"data: [DONE]\n\n: a\n: b\ndata: {}\n", 14 + 4},
            {"data: {}\ndata: {}\n", 9},
            {"data: {}data: {}", 8},
            {"data: {}\r\r", 9},
            {"data:[DONE]\r\r", 12},
            {"data:\ndata:\n", 5},
            {"data: {\n\r", 9},
            {"data: {\"a\":[\"}\\\"\",1.5e-7]}x", 26},
            {"data: {\"a\ndata: \"}", 9},
            {"data: {x}", 7},
            {"data: {\"\u00e4\":null}", 17},
            {"id: 7\n\r\n", 0},
        };
    }

    /** Only what may belong to a completion's event, or to a comment, is counted. */
    @Test(dataProvider = "progressOfText")
    public void textThatMayBecomeAnEventIsCounted(String text, long expected) {
        EventSplitter splitter = new EventSplitter();
        splitter.accept(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), event -> {
            if (SseData.isLastEvent(event)) {
                splitter.expectOnlyComment();
            }
        });
        assertEquals(splitter.textBytes(), expected);
    }

    @DataProvider
    public Object[][] faultyLists() {
        String server = "{\"version\":1,\"servers\":[%s]}";
        return new Object[][] {
            {"", "no object"},
            {"{}", "names no servers"},
            {"[", "no JSON"},
            {"[]", "no object"},
            {"null", "no object"},
            {"{\"version\":\"x\",\"servers\":[]}", "version is not"},
            {"{\"version\":\"1\",\"servers\":[]}", "version is not"},
            {"{\"version\":1.5,\"servers\":[]}", "version is not"},
            {"{\"servers\":[]}", "no version"},
            {"{\"version\":1,\"full\":\"true\",\"servers\":[]}", "full is not"},
            {"{\"version\":1,\"servers\":7}", "names no servers"},
            {"{\"version\":1,\"servers\":{}}", "names no servers"},
            {"{\"version\":1,\"servers\":[]", "no JSON"},
            {"{\"version\":1,\"servers\":[]}}", "no JSON"},
            {"{version=1;servers:[]}", "no JSON"},
            {"[".repeat(9999), "no JSON"},
            {String.format(server, "7"), "no object"},
            {String.format(server, "null"), "no object"},
            {String.format(server, "{\"id\":7,\"addr\":\"1.2.3.4:5\"}"), "id is not"},
            {String.format(server, "{\"id\":\"a\",\"addr\":5}"), "addr is not"},
            {String.format(server, "{\"id\":\"a\",\"addr\":\"1.2.3.4:5\",\"state\":true}"), "state is not"},
            {String.format(server, "{\"id\":\"a\",\"addr\":\"1.2.3.4:5\",\"started_ms\":\"soon\"}"), "started_ms is not"
            },
            {String.format(server, "{\"id\":\"a\",\"addr\":\"1.2.3.4:5\",\"weight\":-1}"), "weight"},
            {String.format(server, "{\"id\":\"a\",\"addr\":\"1.2.3.4:5\",\"weight\":1e999}"), "weight"},
            {String.format(server, "{\"id\":\"a\",\"addr\":\"256.2.3.4:5\"}"), "host:port"},
            {String.format(server, "{}"), "without an id"},
            {String.format(server, "{\"id\":\"a\",\"state\":\"active\"}"), "no addr"},
            {String.format(server, "{\"id\":\"a\",\"addr\":\"nowhere\"}"), "host:port"},
            {String.format(server, "{\"id\":\"a\",\"addr\":\"1.2.3.4:99999\"}"), "host:port"},
            {String.format(server, "{\"id\":\"a\",\"addr\":\"1.2.3.4:5\",\"state\":\"odd\"}"), "unknown state"},
        };
    }

    @Test(dataProvider = "faultyLists")
    public void faultyList(String json, String expectedMessage) {
        IllegalArgumentException e = org.testng.Assert.expectThrows(
                IllegalArgumentException.class, () -> ServerList.parse(json).toChange(copperbeam.Api.ListKind.FULL));
        assertEquals(e.getMessage().contains(expectedMessage), true, e.getMessage());
    }
}
