package copperbeam.program;

import copperbeam.record.Explain;
import copperbeam.record.Recording;
import copperbeam.simhost.SimHost;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import sun.misc.Signal;

/** The command line. */
public final class Main {
    // no logger here: a static one would be created before the log manager is set
    private static final String USAGE = "copperbeam serve|check-config|explain FILE|version|simhost|rehearse";

    private static final Duration MAX_RECORD_TIME = Duration.ofMillis(500); // for writing the recording at a stop

    private Main() {}

    public static void main(String[] args) throws Exception {
        // must be set before the log manager's class is initialized and the first logger is created
        System.setProperty("java.util.logging.manager", StopLogManager.class.getName());
        System.setProperty("java.util.logging.SimpleFormatter.format", "%1$tT.%1$tL %4$s %3$s: %5$s%6$s%n");
        // first of all: without a handler, SIGHUP ends the process and the requests that it has taken
        Reload reload = Arrays.asList(args).contains("serve") ? Reload.onHangup() : null;
        int code;
        try {
            code = run(args, reload);
        } catch (RuntimeException | Error e) {
            // exit explicitly: threads already started would keep alive a process that doesn't serve
            Logger.getLogger(Main.class.getName()).log(Level.SEVERE, "copperbeam could not start", e);
            code = 1;
        }
        if (code >= 0) {
            System.exit(code);
        }
    }

    /** Returns the exit code, or a negative number if the program keeps running. {@code reload} is used by {@code serve} only. */
    static int run(String[] args, Reload reload) throws Exception {
        Options options = options();
        CommandLine commandLine;
        try {
            commandLine = new DefaultParser().parse(options, args);
        } catch (ParseException e) {
            System.err.println("copperbeam: " + e.getMessage());
            return printUsage(options, 2);
        }
        if (commandLine.hasOption("help")) {
            return printUsage(options, 0);
        }
        String command = commandLine.getArgList().isEmpty()
                ? ""
                : commandLine.getArgList().get(0);
        if (commandLine.getArgList().size() > (command.equals("explain") ? 2 : 1)) {
            System.err.println("copperbeam: too many words: " + Arrays.toString(args));
            return printUsage(options, 2);
        }
        switch (command) {
            case "serve":
                return serve(commandLine, reload);
            case "check-config":
                return readConfig(commandLine) == null ? 1 : 0;
            case "explain":
                return explain(commandLine, options);
            case "version":
                System.out.println("copperbeam " + version());
                return 0;
            case "rehearse":
                return Rehearsal.run();
            case "simhost":
                return SimHost.run(System.in, System.out, System.err);
            default:
                System.err.println("copperbeam: " + (command.isEmpty() ? "no command" : "unknown command " + command));
                return printUsage(options, 2);
        }
    }

    private static Options options() {
        Options options = new Options();
        options.addOption("o", "operator", true, "the operator's file: chat API, list, plug-ins");
        options.addOption(
                null,
                "record",
                true,
                "serve: record the last events; written to this file on SIGUSR2, at a"
                        + " broken rule and at the stop; %p is the process id");
        options.addOption(null, "record-kb", true, "serve: memory for recorded events, 4096 unless set");
        options.addOption("r", "request", true, "explain: one request's life, by its id or number");
        options.addOption(null, "events", false, "explain: each event in a line");
        options.addOption("h", "help", false, "print this");
        return options;
    }

    private static int printUsage(Options options, int code) {
        PrintWriter out = new PrintWriter(code == 0 ? System.out : System.err, true);
        new HelpFormatter().printHelp(out, 100, USAGE, null, options, 2, 2, null);
        return code;
    }

    private static String version() {
        String version = Main.class.getPackage().getImplementationVersion();
        return version == null ? "(not packaged)" : version;
    }

    /** Reads the configuration; prints the error and returns null if it is not valid. */
    private static Config readConfig(CommandLine commandLine) {
        try {
            return Config.read(System.getenv(), commandLine.getOptionValue("operator"));
        } catch (Config.Invalid e) {
            System.err.println("copperbeam: " + e.getMessage());
            return null;
        }
    }

    private static int explain(CommandLine commandLine, Options options) {
        if (commandLine.getArgList().size() < 2) {
            System.err.println("copperbeam: explain needs a recorded file");
            return printUsage(options, 2);
        }
        try {
            Explain explain =
                    new Explain(Recording.read(Path.of(commandLine.getArgList().get(1))), System.out);
            if (commandLine.hasOption("request") && !explain.printRequest(commandLine.getOptionValue("request"))) {
                System.err.println("copperbeam: no such request in this recording");
                return 1;
            } else if (commandLine.hasOption("events")) {
                explain.printEvents();
            } else if (!commandLine.hasOption("request")) {
                explain.printCauses();
            }
            return 0;
        } catch (IOException e) {
            System.err.println("copperbeam: " + e.getMessage());
            return 1;
        }
    }

    private static int serve(CommandLine commandLine, Reload reload) throws InterruptedException {
        Path recordFile = commandLine.hasOption("record")
                ? Path.of(commandLine
                        .getOptionValue("record")
                        .replace("%p", Long.toString(ProcessHandle.current().pid())))
                : null;
        int recordKb;
        try {
            recordKb = Integer.parseInt(commandLine.getOptionValue("record-kb", "4096"));
            if (recordKb < 1 || recordKb > 1 << 20) {
                throw new NumberFormatException();
            }
        } catch (NumberFormatException e) {
            System.err.println("copperbeam: --record-kb: is not a number from 1 to 1048576");
            return 2;
        }
        CompletableFuture<Node> startedNode = new CompletableFuture<>();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(startedNode), "stop"));
        try {
            return serve(commandLine, reload, startedNode, recordFile, recordKb);
        } finally {
            startedNode.completeExceptionally(new IllegalStateException("not started"));
        }
    }

    private static int serve(
            CommandLine commandLine, Reload reload, CompletableFuture<Node> startedNode, Path recordFile, int recordKb)
            throws InterruptedException {
        Config config = readConfig(commandLine);
        if (config == null) {
            return 1;
        }
        Node node;
        try {
            node = new Node(config, recordFile, recordKb * 1024);
        } catch (IOException e) {
            System.err.println("copperbeam: " + e.getMessage());
            return 1;
        }
        startedNode.complete(node);
        reload.start(() -> Config.reread(System.getenv(), commandLine.getOptionValue("operator")), node);
        if (recordFile != null) {
            Signal.handle(new Signal("USR2"), signal -> node.writeRecording());
        }
        System.err.println("copperbeam " + version() + ": " + config.name() + " listens on " + node.address());
        node.awaitWarmUp(); // loading the log classes must not delay the start
        initializeLogging();
        MemoryReport.log(config.limits());
        return -1;
    }

    /**
     * Runs on SIGTERM. If the program is still starting, waits until the start is done, as a front that listens already may
     * have taken requests.
     */
    private static void stop(CompletableFuture<Node> startedNode) {
        Node node;
        try {
            node = startedNode.join();
        } catch (CompletionException e) {
            return; // the start failed, and the exit code says so
        }
        try {
            node.stop();
            node.writeRecording().get(MAX_RECORD_TIME.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            System.err.println("copperbeam: nothing was recorded: " + e);
        }
        try {
            node.quiesce();
        } finally {
            Runtime.getRuntime().halt(0); // other threads are still running; all requests taken are answered by now
        }
    }

    /**
     * Loads what the JVM needs to format log lines. If the first line were logged while no file descriptor is free, the JVM
     * could not read its time zones: the logging thread would get an Error, and no line could ever be written.
     */
    private static void initializeLogging() {
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            handler.getFormatter().format(new LogRecord(Level.INFO, ""));
        }
        StopLogManager.keepOpen();
    }
}
