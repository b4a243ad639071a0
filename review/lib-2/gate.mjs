/**
 * A link between two processes that can be cut: what either side sends meanwhile
 * is held, in order, and arrives when the link is back, as a network that is
 * partitioned makes the sender's kernel repeat it. So do the orderly end of a
 * connection and its reset. No connection is accepted while the link is cut.
 */

import { connect, createServer } from "node:net";

export async function startGate(ip, target, port = 0) {
  const [host, targetPort] = target.split(":");
  const held = [];
  const sockets = new Set();
  let isCut = false;
  let server;

  function pass(step) {
    if (isCut) held.push(step);
    else step();
  }

  function forward(from, to) {
    let hasEnded = false;
    from.on("data", (bytes) => pass(() => to.destroyed || to.write(bytes)));
    from.on("end", () => {
      hasEnded = true;
      pass(() => to.destroyed || to.end());
    });
    from.on("error", () => {});
    from.on("close", () => {
      sockets.delete(from);
      if (hasEnded) return;
      pass(() => to.destroyed || to.resetAndDestroy());
    });
  }

  function accept(near) {
    const far = connect({ host, port: Number(targetPort), allowHalfOpen: true, noDelay: true });
    sockets.add(near);
    sockets.add(far);
    forward(near, far);
    forward(far, near);
  }

  async function open(onPort) {
    server = createServer({ allowHalfOpen: true, noDelay: true }, accept);
    await new Promise((resolve, reject) => {
      server.on("error", reject);
      server.listen(onPort, ip, resolve);
    });
  }

  await open(port);
  const ownPort = server.address().port;
  return {
    address: `${ip}:${ownPort}`,
    cut() {
      isCut = true;
      server.close();
    },
    async heal() {
      await open(ownPort);
      isCut = false;
      for (const step of held.splice(0)) step();
    },
    countHeld: () => held.length,
    end() {
      server.close();
      for (const each of sockets) each.destroy();
    },
  };
}
