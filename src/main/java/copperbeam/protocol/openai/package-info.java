/**
 * The chat completions API: its requests are translated for the core, and the events of servers into its answers, both
 * streamed and whole.
 */
package copperbeam.protocol.openai;
