/**
 * The front for the OpenAI chat completions API. Translates its requests for the core, and the events of servers into its
 * responses, streamed or complete.
 */
package copperbeam.protocol.openai;
