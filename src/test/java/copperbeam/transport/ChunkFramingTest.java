package copperbeam.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import copperbeam.protocol.AnswerProgress.Part;
import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ChunkFramingTest {
    private static final int MAX_CHUNK_BYTES = 1 << 20;
    private static final int MAX_LINE_LENGTH = 64;

    /** The parts of these bytes: f for framing, p for padding. */
    private static String parts(String lines) throws MalformedChunkCodingException {
        ChunkFraming framing = new ChunkFraming(MAX_CHUNK_BYTES, MAX_LINE_LENGTH);
        StringBuilder parts = new StringBuilder();
        for (byte next : lines.getBytes(StandardCharsets.ISO_8859_1)) {
            parts.append(framing.accept(next & 0xff) == Part.FRAMING ? 'f' : 'p');
        }
        return parts.toString();
    }

    @DataProvider
    public Object[][] lines() {
        return new Object[][] {
            {"4b\r\n\r\n1f\r\n", "ffffffffff"},
            {"4b\n\n1F\n", "fffffff"},
            {"100000\r\n", "ffffffff"},
            {"00a\r\n", "fpfff"},
            {" 4 \r\n", "pfpff"},
            {"4;a=\"\r\"\r\n", "fpppppppf"},
            {"0\r\n\r\n", "fffff"},
            {"0\r\nX: y\r\n\r\n", "fffpppppp" + "ff"},
        };
    }

    @Test(dataProvider = "lines")
    public void soundFramingIsTold(String lines, String expected) throws Exception {
        assertEquals(parts(lines), expected);
    }

    @DataProvider
    public Object[][] malformed() {
        return new Object[][] {
            {"z"},
            {"-"},
            {"\r\n"},
            {"4 4"},
            {"4\r4"},
            {"4\r\r"},
            {"100001"},
            {"C00000"},
            {"0".repeat(16)},
            {";"},
            {"1\r\nx"},
            {"1\r\n\r\r"},
            {"1;" + "x".repeat(MAX_LINE_LENGTH - 1)},
            {"0\r\n" + "x".repeat(MAX_LINE_LENGTH + 1)},
            {"\u0664"},
        };
    }

    /** At the last byte of each row, without waiting for the line's end. */
    @Test(dataProvider = "malformed")
    public void aLineIsRejectedAsSoonAsItCanNotBecomeValid(String lines) throws Exception {
        parts(lines.substring(0, lines.length() - 1));
        assertThrows(MalformedChunkCodingException.class, () -> parts(lines));
    }
}
