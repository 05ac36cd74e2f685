package copperbeam.soak;

/** What a server does: a reader reads prompts (prefill), a writer writes answers (decode). */
enum Role {
    READER,
    WRITER
}
