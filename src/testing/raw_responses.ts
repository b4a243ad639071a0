/**
 * The bytes of responses of fake upstreams, in the headers of the test codec.
 *
 * @module
 */

/** A sealed response to the request, with a length. */
export function answer(id: string, body: string, status = "200 OK"): string {
  return `HTTP/1.1 ${status}\r\nx-id: ${id}\r\nx-seal: s\r\n` +
    `content-length: ${body.length}\r\n\r\n${body}`;
}

/** The head of a response with chunked transfer encoding. */
export function streamHead(id: string): string {
  return `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-seal: s\r\n` +
    "transfer-encoding: chunked\r\n\r\n";
}

/** The head of a response whose body ends with its connection. */
export function unframedHead(id: string): string {
  return `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-seal: s\r\n\r\n`;
}

/** The head of a response with a length. */
export function headWithLength(id: string, length: number): string {
  return `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-seal: s\r\n` +
    `content-length: ${length}\r\n\r\n`;
}

/** One chunk of a response body. */
export function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}
