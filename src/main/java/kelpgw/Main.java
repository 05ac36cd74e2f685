package kelpgw;

import java.io.IOException;
import kelpgw.simhost.SimHost;

/** Dispatches to the simulator adapter; a node embeds {@link Brain} instead. */
public final class Main {
    private Main() {}

    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("simhost")) {
            System.err.println("usage: java -jar kelpgw.jar simhost");
            System.exit(2);
        }
        System.exit(SimHost.run(System.in, System.out, System.err));
    }
}
