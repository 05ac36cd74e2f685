package copperbeam.plugins;

import com.dylibso.chicory.runtime.Instance;
import com.dylibso.chicory.wasm.ChicoryException;
import com.dylibso.chicory.wasm.Parser;
import com.dylibso.chicory.wasm.WasmModule;
import com.dylibso.chicory.wasm.types.FunctionType;
import com.dylibso.chicory.wasm.types.MemoryLimits;
import com.dylibso.chicory.wasm.types.ValueType;
import copperbeam.routing.RequestHook;
import copperbeam.routing.RequestSpec;
import copperbeam.routing.TextHash;
import java.time.Duration;
import java.util.List;

/**
 * A request hook implemented by a WebAssembly module, which exports {@code on_request(class, prompt_tokens, prefix_tokens,
 * max_answer_tokens: i32, session, prefix: i64) -> i32}. Classes are numbered from 0 in the settings' order; session and
 * prefix are passed as hashes, 0 for none. The function returns 0 to let the request pass, -n to refuse it for n
 * milliseconds, or k + 1 to change its class to k. The module gets no imports, so it can access only its own memory.
 */
public final class WasmHook implements RequestHook {
    private static final List<ValueType> PARAMETERS =
            List.of(ValueType.I32, ValueType.I32, ValueType.I32, ValueType.I32, ValueType.I64, ValueType.I64);
    private static final int INSTRUCTIONS_PER_CLOCK_CHECK =
            256; // number of instructions between checks of the time limit
    private static final int MAX_REFUSAL_MS = 60_000;

    /** Thrown from within the interpreter when a call exceeds its time limit. */
    private static final class TimeLimitExceeded extends RuntimeException {
        private static final long serialVersionUID = 1L;

        TimeLimitExceeded() {
            super("its time was up", null, false, false);
        }
    }

    private final String name;
    private final WasmModule module;
    private final List<String> classes;
    private final Duration timeLimit;
    private final int maxMemoryPages;
    private Instance instance;
    private int instructionCount;
    private long deadlineNanos;

    /**
     * Loads the module.
     *
     * @param classes names of the request classes, in the settings' order
     * @param timeLimit for loading the module, and for each call
     * @param maxPages memory limit, in WebAssembly pages of 64 KiB
     * @throws IllegalArgumentException if the module can't be used; the message says why
     */
    public WasmHook(String name, byte[] wasm, List<String> classes, Duration timeLimit, int maxPages) {
        this.name = name;
        this.classes = List.copyOf(classes);
        this.timeLimit = timeLimit;
        maxMemoryPages = maxPages;
        try {
            module = Parser.parse(wasm);
            if (module.importSection().importCount() > 0) {
                throw new IllegalArgumentException("it asks for imports, and there are none");
            }
            instantiate();
            FunctionType type = instance.exportType("on_request");
            if (!type.params().equals(PARAMETERS) || !type.returns().equals(List.of(ValueType.I32))) {
                throw new IllegalArgumentException("on_request has another form: " + type);
            }
        } catch (ChicoryException | TimeLimitExceeded e) {
            throw new IllegalArgumentException("it does not load: " + e.getMessage(), e);
        }
    }

    private void instantiate() {
        deadlineNanos = System.nanoTime() + timeLimit.toNanos();
        instance = null;
        Instance.Builder builder = Instance.builder(module).withUnsafeExecutionListener((instruction, stack) -> {
            if (++instructionCount % INSTRUCTIONS_PER_CLOCK_CHECK == 0 && System.nanoTime() > deadlineNanos) {
                throw new TimeLimitExceeded();
            }
        });
        module.memorySection().ifPresent(section -> {
            int initialPages = section.getMemory(0).limits().initialPages();
            if (initialPages > maxMemoryPages) {
                throw new IllegalArgumentException(
                        "it wants " + initialPages + " pages of memory; " + maxMemoryPages + " are allowed");
            }
            builder.withMemoryLimits(new MemoryLimits(initialPages, maxMemoryPages));
        });
        instance = builder.build();
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public Verdict onRequest(RequestSpec spec) {
        try {
            if (instance == null) {
                instantiate();
            }
            deadlineNanos = System.nanoTime() + timeLimit.toNanos();
            int verdict = (int) instance.export("on_request")
                    .apply(
                            classes.indexOf(spec.requestClass()),
                            (long) spec.promptTokens(),
                            (long) spec.prefixTokens(),
                            (long) spec.maxAnswerTokens(),
                            TextHash.fnv1a(spec.session()),
                            TextHash.fnv1a(spec.prefix()))[0];
            if (verdict < 0) {
                return new Verdict(Duration.ofMillis(Math.min(-(long) verdict, MAX_REFUSAL_MS)), null);
            }
            if (verdict > classes.size()) {
                throw new IllegalStateException("it returned class " + (verdict - 1) + ", which does not exist");
            }
            return verdict == 0 ? Verdict.PASS : new Verdict(null, classes.get(verdict - 1));
        } catch (RuntimeException | Error e) {
            instance = null; // its memory may be inconsistent; the next call gets a new instance
            throw e;
        }
    }
}
