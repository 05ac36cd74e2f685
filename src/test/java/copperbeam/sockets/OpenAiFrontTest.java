package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static copperbeam.sockets.Site.chatRequest;
import static copperbeam.sockets.Site.forAttempts;
import static copperbeam.sockets.Site.postRequest;
import static copperbeam.sockets.Site.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import copperbeam.Api;
import copperbeam.program.Config;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The chat API on real sockets, on the same core as the platform's protocol. */
public class OpenAiFrontTest {
    private static JsonObject parseObject(String text) {
        return JsonParser.parseString(text).getAsJsonObject();
    }

    private static List<String> eventData(String text) {
        List<String> data = new ArrayList<>();
        for (String event : text.split("\n\n")) {
            data.add(event.substring("data: ".length()));
        }
        return data;
    }

    @Test
    public void streamsChunksInTheApisForm() throws Exception {
        try (Site site = new Site(1, 1);
                RawConnection client = site.chatClient()) {
            RawConnection.Message answer =
                    client.send(chatRequest("m-ask", true, "")).read();
            assertEquals(answer.status(), 200);
            assertEquals(answer.header("Content-Type"), "text/event-stream");
            List<String> data = eventData(answer.text());
            assertEquals(data.size(), 3); // usage was not asked for
            assertEquals(data.get(2), "[DONE]");
            JsonObject first = parseObject(data.get(0));
            assertEquals(first.get("object").getAsString(), "chat.completion.chunk");
            assertEquals(first.get("model").getAsString(), "m-ask");
            JsonObject delta =
                    first.getAsJsonArray("choices").get(0).getAsJsonObject().getAsJsonObject("delta");
            assertEquals(delta.get("role").getAsString(), "assistant");
            assertEquals(delta.get("content").getAsString(), "ab");
            assertEquals(parseObject(data.get(1)).get("id"), first.get("id"));

            RawConnection.Message usage = client.send(
                            chatRequest("m-ask", true, ",\"stream_options\":{\"include_usage\":true}"))
                    .read();
            assertEquals(eventData(usage.text()).size(), 4);
            assertNotEquals(parseObject(eventData(usage.text()).get(0)).get("id"), first.get("id"));

            RawConnection.Message forwarded = site.readers.get(0).requests.get(0);
            assertEquals(forwarded.header("X-Priority-Class"), "ask");
            assertTrue(forwarded.header("X-Attrs").endsWith(",prompt_len=3,prefix_len=2,max_out=100"));
            assertEquals(
                    forwarded.header("X-Route-Key"),
                    site.readers.get(0).requests.get(1).header("X-Route-Key"));
        }
    }

    @Test
    public void gathersACompletion() throws Exception {
        try (Site site = new Site(1, 1);
                RawConnection client = site.chatClient()) {
            JsonObject answer = parseObject(client.send(chatRequest("m-send", false, ",\"max_tokens\":7"))
                    .read()
                    .text());
            assertEquals(answer.get("object").getAsString(), "chat.completion");
            JsonObject choice = answer.getAsJsonArray("choices").get(0).getAsJsonObject();
            assertEquals(choice.getAsJsonObject("message").get("content").getAsString(), "abc\u00e8");
            assertEquals(choice.get("finish_reason").getAsString(), "stop");
            assertEquals(
                    answer.getAsJsonObject("usage").get("completion_tokens").getAsInt(), 2);
            RawConnection.Message forwarded = site.writers.get(0).requests.get(0);
            assertTrue(parseObject(forwarded.text()).get("stream").getAsBoolean());
            assertTrue(forwarded.header("X-Attrs").endsWith("max_out=7"));
        }
    }

    @Test
    public void listsModels() throws Exception {
        try (Site site = new Site(1, 1);
                RawConnection client = site.chatClient()) {
            JsonObject list = parseObject(client.send("GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n")
                    .read()
                    .text());
            assertEquals(list.getAsJsonArray("data").size(), 2);
            JsonObject model = parseObject(client.send("GET /v1/models/m-ask HTTP/1.1\r\nHost: x\r\n\r\n")
                    .read()
                    .text());
            assertEquals(model.get("id").getAsString(), "m-ask");
        }
    }

    @DataProvider
    public Object[][] faulty() {
        return new Object[][] {
            {postRequest("{"), 400, null},
            {postRequest("{\"model\":\"m-ask\"}"), 400, "messages"},
            {postRequest("{\"model\":\"m-ask\",\"messages\":[]}"), 400, "messages"},
            {postRequest("{\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}"), 400, "model"},
            {
                postRequest("{\"model\":\"m-ask\",\"messages\":[{\"role\":\"user\",\"content\":5}]}"),
                400,
                "messages[0].content"
            },
            {chatRequest("m-ask", true, ",\"n\":2"), 400, "n"},
            {chatRequest("m-ask", true, ",\"max_tokens\":-1"), 400, "max_tokens"},
            {chatRequest("m-none", true, ""), 404, "model"},
            {"GET /v1/models/m-none HTTP/1.1\r\nHost: x\r\n\r\n", 404, "model"},
            {"GET /v1/nothing HTTP/1.1\r\nHost: x\r\n\r\n", 404, null},
        };
    }

    @Test(dataProvider = "faulty")
    public void errorsHaveTheApisErrorObject(String text, int status, String param) throws Exception {
        try (Site site = new Site(1, 1);
                RawConnection client = site.chatClient()) {
            RawConnection.Message answer = client.send(text).read();
            assertEquals(answer.status(), status);
            JsonObject error = parseObject(answer.text()).getAsJsonObject("error");
            assertEquals(error.get("type").getAsString(), "invalid_request_error");
            assertEquals(
                    error.get("param").isJsonNull() ? null : error.get("param").getAsString(), param);
            assertEquals(site.countAttempts(site.readers), 0);
        }
    }

    @Test
    public void aTimeOutIs504AndARefusalCarriesRetryAfter() throws Exception {
        try (Site site = new Site(1, 1);
                RawConnection client = site.chatClient()) {
            site.writers.get(0).script = forAttempts((message, connection) -> {});
            RawConnection.Message late =
                    client.send(chatRequest("m-send", true, "")).read();
            assertEquals(late.status(), 504);
            assertEquals(
                    parseObject(late.text())
                            .getAsJsonObject("error")
                            .get("code")
                            .getAsString(),
                    "timeout");
            site.readers.get(0).script =
                    forAttempts((message, connection) -> connection.respond(503, "", "X-Not-Processed: 1\r\n"));
            RawConnection.Message refused =
                    client.send(chatRequest("m-send", true, "")).read();
            assertEquals(refused.status(), 503);
            assertEquals(refused.header("Retry-After"), "1");
        }
    }

    @Test
    public void aStreamEndsWhenItsClientLeavesAndIsNotRetried() throws Exception {
        try (Site site = new Site(2, 2)) {
            site.writers.forEach(writer -> writer.script = forAttempts((message, connection) -> connection
                    .beginStream()
                    .sendChunk("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}\n\n")));
            try (RawConnection client = site.chatClient()) {
                client.send(chatRequest("m-send", true, "")).readHead();
                assertTrue(client.readChunk().contains("\"a\""));
            }
            StandIn usedWriter = site.writers.stream()
                    .filter(writer -> writer.attempts() > 0)
                    .findFirst()
                    .orElseThrow();
            await("closed", () -> usedWriter.connections.get(0).closedByStandIn);
            // the next request is served, and the first was not retried
            site.writers.forEach(writer -> writer.script = Site::answerAsWriter);
            try (RawConnection client = site.chatClient()) {
                assertEquals(
                        client.send(chatRequest("m-send", false, "")).read().status(), 200);
            }
            assertEquals(site.countAttempts(site.writers), 2);
        }
    }

    @Test
    public void aMalformedEventEndsTheStreamAsBroken() throws Exception {
        try (Site site = new Site(1, 2);
                RawConnection client = site.chatClient()) {
            site.writers.forEach(writer -> writer.script = forAttempts((message, connection) -> connection
                    .beginStream()
                    .sendChunk("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}\n\n")
                    .sendChunk("data: {\"choices\":[{\n\n")));
            RawConnection.Message answer =
                    client.send(chatRequest("m-send", true, "")).read();
            assertFalse(answer.complete());
            List<String> data = eventData(answer.text());
            assertEquals(data.size(), 2);
            assertEquals(
                    parseObject(data.get(1))
                            .getAsJsonObject("error")
                            .get("code")
                            .getAsString(),
                    "stream_broken");
            assertEquals(site.countAttempts(site.writers), 1);
        }
    }

    /**
     * The same requests through both APIs, some of them with writers that fail, get the same statuses, and no unsafe request is
     * sent twice. Which ones fail depends on the request and not on the number of attempts; the promised times are so long that
     * none is refused on a slow core.
     */
    @Test
    public void bothApisAreServedAlike() throws Exception {
        Api.Settings settings = Site.parseSettings(
                String.format(Site.SETTINGS_FORMAT, "30").replaceAll("\"promise_s\":[0-9.]+", "\"promise_s\":1000"));
        for (boolean openAi : new boolean[] {false, true}) {
            AtomicInteger requestIndex = new AtomicInteger();
            Set<Integer> failed = ConcurrentHashMap.newKeySet();
            try (Site site =
                    new Site(2, 2, 30, null, List.of(), Config.Limits.DEFAULT, settings, Duration.ofSeconds(2))) {
                site.writers.forEach(writer -> writer.script = forAttempts((message, connection) -> {
                    int i = requestIndex.get();
                    if (i % 5 == 4 && failed.add(i)) {
                        connection.reset();
                    } else {
                        Site.answerAsWriter(message, connection);
                    }
                }));
                for (int i = 0; i < 40; i++) {
                    requestIndex.set(i);
                    boolean isUnsafe = i % 3 == 0;
                    try (RawConnection client = openAi ? site.chatClient() : site.client()) {
                        client.send(
                                openAi
                                        ? chatRequest(isUnsafe ? "m-send" : "m-ask", true, "")
                                        : request(isUnsafe ? "send" : "ask", 2000));
                        assertEquals(
                                client.read().status(), isUnsafe && i % 5 == 4 ? 502 : 200, openAi + ", request " + i);
                    }
                }
                assertEquals(failed.size(), 8);
                Set<String> sends = new HashSet<>();
                for (StandIn writer : site.writers) {
                    for (RawConnection.Message message : writer.requests) {
                        if (message.method().equals("POST")
                                && message.header("X-Priority-Class").equals("send")) {
                            assertTrue(sends.add(message.header("X-Request-ID")), "an unsafe request ran twice");
                        }
                    }
                }
                await("idle", () -> site.get("/healthz").status() == 200);
            }
        }
    }
}
