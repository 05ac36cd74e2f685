/**
 * The platform's protocol: its headers on requests from clients, and the meaning of the status codes of servers.
 */
package copperbeam.protocol.platform;
