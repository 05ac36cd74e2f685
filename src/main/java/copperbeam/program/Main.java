package copperbeam.program;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import copperbeam.simhost.SimHost;

/** The command line. */
public final class Main {
    private static final String USAGE = "copperbeam serve|check-config|version|simhost|rehearse";

    private Main() {}

    public static void main(String[] args) throws Exception {
        int code = run(args);
        if (code >= 0) {
            System.exit(code);
        }
    }

    /** The exit code; below 0 where the program goes on. */
    static int run(String[] args) throws Exception {
        System.setProperty("java.util.logging.SimpleFormatter.format", "%1$tT.%1$tL %4$s %3$s: %5$s%6$s%n");
        Options options = options();
        CommandLine line;
        try {
            line = new DefaultParser().parse(options, args);
        } catch (ParseException e) {
            System.err.println("copperbeam: " + e.getMessage());
            return usage(options, 2);
        }
        if (line.hasOption("help")) {
            return usage(options, 0);
        }
        String command = line.getArgList().isEmpty() ? "" : line.getArgList().get(0);
        if (line.getArgList().size() > 1) {
            System.err.println("copperbeam: too many words: " + Arrays.toString(args));
            return usage(options, 2);
        }
        switch (command) {
            case "serve":
                return serve(line);
            case "check-config":
                return config(line) == null ? 1 : 0;
            case "version":
                System.out.println("copperbeam " + version());
                return 0;
            case "rehearse":
                return Rehearsal.run();
            case "simhost":
                return SimHost.run(System.in, System.out, System.err);
            default:
                System.err.println("copperbeam: " + (command.isEmpty() ? "no command" : "unknown command " + command));
                return usage(options, 2);
        }
    }

    private static Options options() {
        Options options = new Options();
        options.addOption("o", "operator", true, "the operator's file: chat API, list, plug-ins");
        options.addOption("h", "help", false, "print this");
        return options;
    }

    private static int usage(Options options, int code) {
        PrintWriter out = new PrintWriter(code == 0 ? System.out : System.err, true);
        new HelpFormatter().printHelp(out, 100, USAGE, null, options, 2, 2, null);
        return code;
    }

    private static String version() {
        String version = Main.class.getPackage().getImplementationVersion();
        return version == null ? "(not packaged)" : version;
    }

    /** Null, with the reason told, where the configuration is not valid. */
    private static Config config(CommandLine line) {
        try {
            return Config.read(System.getenv(), line.getOptionValue("operator"));
        } catch (Config.Invalid e) {
            System.err.println("copperbeam: " + e.getMessage());
            return null;
        }
    }

    private static int serve(CommandLine line) throws InterruptedException {
        CompletableFuture<Node> running = new CompletableFuture<>();
        // before all else, as without a handler the signal ends the program
        Reload.onHangup(() -> Config.reread(System.getenv(), line.getOptionValue("operator")), running);
        Config config = config(line);
        if (config == null) {
            return 1;
        }
        Node node;
        try {
            node = new Node(config);
        } catch (IOException e) {
            System.err.println("copperbeam: " + e.getMessage());
            return 1;
        }
        running.complete(node);
        System.err.println("copperbeam " + version() + ": " + config.name() + " listens on " + node.address());
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                node.stop();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            // the reactors' threads would outlive the hooks; all that was taken is answered by now
            Runtime.getRuntime().halt(0);
        }, "stop"));
        return -1;
    }
}
