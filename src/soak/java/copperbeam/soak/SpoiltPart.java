package copperbeam.soak;

import java.util.List;
import java.util.Random;

/**
 * What a server goes on with, without end, in place of the next chunk of its stream. Nothing of it is an event that a client may get.
 *
 * @param opening sent once
 * @param repeated sent again and again
 * @param pauseMs the pause between two of them
 */
record SpoiltPart(String opening, String repeated, int pauseMs) {
    private static final int[] PAUSES_MS = {2, 50, 300, 1500};
    private static final String EVENT = "data: {\"choices\":[]}\n\n";

    private static final List<SpoiltPart> FORMS = List.of(
            new SpoiltPart("C0000000\r\n", EVENT, 0),
            new SpoiltPart("C0000000", EVENT.strip(), 0),
            new SpoiltPart("", "0", 0),
            new SpoiltPart("4;", "x", 0),
            new SpoiltPart("4", " ", 0),
            new SpoiltPart("ffff\r\n", "\r\n", 0),
            new SpoiltPart("ffff\r\ndata: ", "x", 0),
            new SpoiltPart("ffff\r\n", EVENT.strip(), 0),
            new SpoiltPart("ffff\r\n", "what", 0));

    /** What may follow the last event as well. */
    private static final SpoiltPart TRAILERS = new SpoiltPart("0\r\n", "X: y\r\n", 0);

    static SpoiltPart draw(Random random, boolean behindLastEvent) {
        SpoiltPart form = behindLastEvent && random.nextBoolean() ? TRAILERS : FORMS.get(random.nextInt(FORMS.size()));
        return new SpoiltPart(form.opening, form.repeated, PAUSES_MS[random.nextInt(PAUSES_MS.length)]);
    }
}
