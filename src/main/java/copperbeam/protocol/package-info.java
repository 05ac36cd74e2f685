/**
 * What all protocols share: a request and a reply as plain HTTP, JSON, and server-sent events. One package below this
 * one holds one protocol.
 *
 * <p>Uses {@code routing}; is used by {@code transport}, which reads and writes the bytes.
 */
package copperbeam.protocol;
