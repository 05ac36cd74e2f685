/**
 * HTTP/1.1 on HttpCore's reactors: the listeners for clients, the connections to servers, and their limits in size,
 * time and number. Turns bytes into messages for the actors of {@code routing}, and their instructions into bytes.
 */
package copperbeam.transport;
