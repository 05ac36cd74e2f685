package copperbeam.soak;

import copperbeam.soak.SoakRun.ListSource;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Command line of the soak: {@code FIRST_SEED SEEDS [SECONDS [CONDUCTORS [CLIENTS [etcd]]]]}. Runs one seed after another and exits
 * with 1 if a rule was broken or if a run served too few requests to be conclusive. {@code etcd}: the list comes from etcd.
 */
public final class Soak {
    private static final int MIN_SERVED_DIVISOR = 4; // a run with fewer than 1/4 of its requests served is inconclusive
    private static final Path OUTPUT_FOLDER = Path.of("target", "soak");

    private Soak() {}

    private static int argument(String[] args, int index, int defaultValue) {
        return args.length > index ? Integer.parseInt(args[index]) : defaultValue;
    }

    /** Writes the evidence of each broken rule to a file in {@code target/soak/seed-SEED}. */
    public static void main(String[] args) throws Exception {
        int firstSeed = argument(args, 0, 1);
        int seedCount = argument(args, 1, 1);
        int seconds = argument(args, 2, 30);
        int conductors = argument(args, 3, 10);
        int clients = argument(args, 4, 40);
        ListSource listSource = args.length > 5 && args[5].equals("etcd") ? ListSource.ETCD : ListSource.DISCOVERY;
        boolean failed = false;
        for (long seed = firstSeed; seed < firstSeed + seedCount; seed++) {
            Path folder = Files.createDirectories(OUTPUT_FOLDER.resolve("seed-" + seed));
            SoakRun.Size size = new SoakRun.Size(conductors, clients, 3, 5, seconds * 1000L, null, listSource);
            try (SoakRun run = new SoakRun(seed, size, folder)) {
                List<Violation> violations = run.execute();
                boolean conclusive = run.servedCount() * MIN_SERVED_DIVISOR >= run.sentCount();
                System.out.println("seed " + seed + ": " + run.sentCount() + " sent, " + run.servedCount() + " served, "
                        + violations.size() + " rules broken, stand-ins late by " + run.worstLatenessMs()
                        + " ms at worst" + (conclusive ? "" : ": too little was served to tell anything"));
                for (Violation violation : violations) {
                    System.out.println("  " + violation.rule() + " " + violation.subject() + ": " + violation.detail());
                    Path evidence = folder.resolve(violation.rule() + "-" + violation.subject());
                    Files.write(evidence, run.evidence(violation));
                }
                failed |= !violations.isEmpty() || !conclusive;
            }
        }
        System.exit(failed ? 1 : 0);
    }
}
