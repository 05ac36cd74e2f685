/**
 * Request hooks that run as WebAssembly modules, without access to anything but their own memory.
 */
package copperbeam.plugins;
