package copperbeam.soak;

import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.jar.JarEntry;
import java.util.jar.JarOutputStream;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The class path for processes of the program, with archives in place of folders, as the program is delivered. The JVM keeps an
 * archive open, while it needs a descriptor to load a class from a folder: a class that is first needed while none is free would be
 * missing for good.
 */
public final class ProgramClassPath {
    private static final String CLASS_PATH = Arrays.stream(
                    System.getProperty("java.class.path").split(File.pathSeparator))
            .map(ProgramClassPath::toArchive)
            .collect(Collectors.joining(File.pathSeparator));

    private ProgramClassPath() {}

    /** The class path, in the form of the JVM's option. */
    public static String get() {
        return CLASS_PATH;
    }

    private static String toArchive(String entry) {
        Path folder = Path.of(entry);
        if (!Files.isDirectory(folder)) {
            return entry;
        }
        try {
            Path archive = Files.createTempFile("classes", ".jar");
            archive.toFile().deleteOnExit();
            pack(folder, archive);
            return archive.toString();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void pack(Path folder, Path archive) throws IOException {
        try (Stream<Path> tree = Files.walk(folder);
                OutputStream file = Files.newOutputStream(archive);
                JarOutputStream jar = new JarOutputStream(file)) {
            List<Path> classFiles = tree.filter(Files::isRegularFile).toList();
            for (Path classFile : classFiles) {
                jar.putNextEntry(
                        new JarEntry(folder.relativize(classFile).toString().replace(File.separatorChar, '/')));
                Files.copy(classFile, jar);
                jar.closeEntry();
            }
        }
    }
}
