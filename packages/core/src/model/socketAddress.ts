/** Addresses of listening sockets: an IP address and a port, such as `127.0.0.1:80`. */
import { isIPv4, isIPv6 } from 'node:net';

const PORT_MAX = 65_535;

/** Whether a text is an IPv4 address, or an IPv6 address in brackets, with a port. */
export function isSocketAddress(text: string): boolean {
  const [, host = '', port = ''] = /^(.+):(\d{1,5})$/u.exec(text) ?? [];
  const portNumber = Number(port);
  if (portNumber < 1 || portNumber > PORT_MAX) return false;
  if (isIPv4(host)) return true;
  return host.startsWith('[') && host.endsWith(']') && isIPv6(host.slice(1, -1));
}
