package copperbeam.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Command line of the soak: {@code FIRST_SEED SEEDS [SECONDS [CONDUCTORS [CLIENTS]]]}. Runs one seed after another and exits with 1
 * if a rule was broken or if a run served too few requests to be conclusive.
 */
public final class Soak {
    private static final int LEAST_SERVED_PART = 4; // a run with fewer than 1/4 of its requests served is inconclusive
    private static final Path FOLDER = Path.of("target", "soak");

    private Soak() {}

    private static int argument(String[] args, int place, int usual) {
        return args.length > place ? Integer.parseInt(args[place]) : usual;
    }

    /** Writes the evidence of each broken rule to a file in {@code target/soak/seed-SEED}. */
    public static void main(String[] args) throws Exception {
        int first = argument(args, 0, 1);
        int seeds = argument(args, 1, 1);
        int seconds = argument(args, 2, 30);
        int conductors = argument(args, 3, 10);
        int clients = argument(args, 4, 40);
        boolean broken = false;
        for (long seed = first; seed < first + seeds; seed++) {
            Path folder = Files.createDirectories(FOLDER.resolve("seed-" + seed));
            SoakRun.Size size = new SoakRun.Size(conductors, clients, 3, 5, seconds * 1000L, null);
            try (SoakRun run = new SoakRun(seed, size, folder)) {
                List<Violation> violations = run.play();
                boolean tells = run.served() * LEAST_SERVED_PART >= run.sent();
                System.out.println("seed " + seed + ": " + run.sent() + " sent, " + run.served() + " served, "
                        + violations.size() + " rules broken, stand-ins late by " + run.worstLatenessMs()
                        + " ms at worst" + (tells ? "" : ": too little was served to tell anything"));
                for (Violation v : violations) {
                    System.out.println("  " + v.rule() + " " + v.subject() + ": " + v.detail());
                    Path evidence = folder.resolve(v.rule() + "-" + v.subject());
                    Files.write(evidence, run.evidence(v));
                }
                broken |= !violations.isEmpty() || !tells;
            }
        }
        System.exit(broken ? 1 : 0);
    }
}
