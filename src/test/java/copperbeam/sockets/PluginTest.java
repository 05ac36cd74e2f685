package copperbeam.sockets;

import static copperbeam.sockets.Site.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import copperbeam.plugins.WasmHook;
import copperbeam.routing.RequestHook;
import copperbeam.routing.RequestSpec;
import java.io.ByteArrayOutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * WebAssembly plug-ins in a running conductor. A plug-in returns 0 to let a request pass, -n to refuse it for n ms, and n + 1 to
 * move it to class n. Class 0 is ask, which may be repeated; class 1 is send.
 */
public class PluginTest {
    private static final byte[] ENDLESS_LOOP = {0x03, 0x40, 0x0c, 0x00, 0x0b, 0x41, 0x00, 0x0b};
    private static final byte[] TRAP = {0x00, 0x0b};

    private static byte[] constantVerdict(int verdict) {
        return new byte[] {0x41, (byte) (verdict & 0x7f), 0x0b};
    }

    private static byte[] wasmModule(byte[] code, int pages) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(new byte[] {0, 'a', 's', 'm', 1, 0, 0, 0});
        out.writeBytes(new byte[] {1, 11, 1, 0x60, 6, 0x7f, 0x7f, 0x7f, 0x7f, 0x7e, 0x7e, 1, 0x7f, 3, 2, 1, 0});
        out.writeBytes(new byte[] {5, 3, 1, 0, (byte) pages, 7, 14, 1, 10});
        out.writeBytes("on_request".getBytes());
        out.writeBytes(new byte[] {0, 0, 10, (byte) (code.length + 3), 1, (byte) (code.length + 1), 0});
        out.writeBytes(code);
        return out.toByteArray();
    }

    private static WasmHook hook(byte[] wasm) {
        return new WasmHook("test", wasm, List.of("ask", "send"), Duration.ofMillis(50), 16);
    }

    @DataProvider
    public Object[][] verdicts() {
        return new Object[][] {
            // code, class asked for, status, class that the server sees
            {constantVerdict(0), "ask", 200, "ask"},
            {constantVerdict(-5), "ask", 429, null},
            {constantVerdict(2), "ask", 200, "send"},
            {constantVerdict(1), "send", 200, "send"}, // must not become a class that may be repeated
            {constantVerdict(3), "ask", 200, "ask"}, // there is no such class
            {ENDLESS_LOOP, "ask", 200, "ask"},
            {TRAP, "send", 200, "send"},
        };
    }

    @Test(dataProvider = "verdicts")
    public void aPluginRefusesOrReclassesAndNeverStopsTheService(
            byte[] code, String requestClass, int status, String forwardedClass) throws Exception {
        try (Site site = new Site(1, 1, 30, null, List.of(hook(wasmModule(code, 1))));
                RawConnection client = site.client()) {
            for (int i = 0; i < 2; i++) {
                RawConnection.Message answer =
                        client.send(request(requestClass, 5000)).read();
                assertEquals(answer.status(), status);
                assertEquals(answer.header("Retry-After"), status == 429 ? "0.005" : null);
            }
            assertEquals(site.countAttempts(site.readers), status == 200 ? 2 : 0);
            if (forwardedClass != null) {
                assertEquals(site.writers.get(0).requests.get(0).header("X-Priority-Class"), forwardedClass);
            }
        }
    }

    /** Each request gets its final answer by its deadline: the one in the hook that hangs, and those queued behind it. */
    @Test
    public void aHookThatHangsLeavesNoRequestWithoutItsAnswer() throws Exception {
        CountDownLatch hookReleased = new CountDownLatch(1);
        RequestHook hangs = hook(spec -> {
            hookReleased.await();
            return RequestHook.Verdict.PASS;
        });
        try (Site site = new Site(1, 1, 30, null, List.of(hangs));
                RawConnection first = site.client();
                RawConnection second = site.client();
                RawConnection chat = site.chatClient()) {
            long startNs = System.nanoTime();
            first.send(request("ask", 500));
            second.send(request("send", 500));
            chat.send(Site.chatRequest("m-ask", true, "")); // with a deadline of 2 s
            assertEquals(first.read().status(), 504);
            assertEquals(second.read().status(), 504);
            assertTrue(System.nanoTime() - startNs < 1_000_000_000L);
            assertEquals(chat.read().status(), 504);
            assertTrue(System.nanoTime() - startNs < 2_500_000_000L);
            hookReleased.countDown();
            assertEquals(first.send(request("ask", 5000)).read().status(), 200);
            assertEquals(site.countAttempts(site.readers), 1); // none for the requests that were already answered
        }
    }

    @Test
    public void aHookThatThrowsAnErrorIsIgnored() throws Exception {
        RequestHook fails = hook(spec -> {
            throw new StackOverflowError();
        });
        try (Site site = new Site(1, 1, 30, null, List.of(fails));
                RawConnection client = site.client()) {
            assertEquals(client.send(request("ask", 5000)).read().status(), 200);
        }
    }

    private interface Decision {
        RequestHook.Verdict decide(RequestSpec spec) throws Exception;
    }

    private static RequestHook hook(Decision decision) {
        return new RequestHook() {
            @Override
            public String name() {
                return "test";
            }

            @Override
            public Verdict onRequest(RequestSpec spec) throws Exception {
                return decision.decide(spec);
            }
        };
    }

    /** A plug-in that changes a request's class does not change its tenant. */
    @Test
    public void aReclassedRequestKeepsItsTenant() throws Exception {
        OtherSitesTest.assertTenantOverQuotaIsRefusedFirst(List.of(hook(wasmModule(constantVerdict(1), 1))));
    }

    @Test
    public void aModuleThatWantsTooMuchDoesNotLoad() {
        expectThrows(IllegalArgumentException.class, () -> hook(wasmModule(constantVerdict(0), 17)));
        expectThrows(IllegalArgumentException.class, () -> hook(new byte[] {1, 2, 3}));
    }

    @Test
    public void theExampleRefusesLongPrompts() throws Exception {
        WasmHook hook = hook(Files.readAllBytes(Path.of("deploy/plugins/refuse-long.wasm")));
        try (Site site = new Site(1, 1, 30, null, List.of(hook));
                RawConnection client = site.client()) {
            assertEquals(
                    client.send(request("a", "ask", "5000m", "prompt_len=16000", "{}"))
                            .read()
                            .status(),
                    200);
            RawConnection.Message refused = client.send(request("b", "ask", "5000m", "prompt_len=16001", "{}"))
                    .read();
            assertEquals(refused.status(), 429);
            assertEquals(refused.header("Retry-After"), "2.000");
        }
    }
}
