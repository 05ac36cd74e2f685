/**
 * What all protocols share: HTTP requests and responses, JSON, and server-sent events. Each subpackage implements one
 * protocol.
 *
 * <p>Uses {@code routing}; is used by {@code transport}, which reads and writes the bytes.
 */
package copperbeam.protocol;
