// Prints the resident memory of processes, and the share of a core that each
// uses within SECONDS, both read from /proc.
// Usage: node scripts/process_cost.mjs SECONDS PID...
import { readFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";

// Unit of the CPU times in /proc (USER_HZ).
const TICKS_PER_S = 100;
const [seconds, ...pids] = process.argv.slice(2);

function readCpuTicks(pid) {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  // The process name in parentheses may contain spaces, so the fields are
  // counted from its end: the CPU times in user and system mode are at index
  // 11 and 12.
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  return Number(fields[11]) + Number(fields[12]);
}

function readResidentMb(pid) {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/VmRSS:\s+(\d+) kB/.exec(status)[1]) / 1024;
}

const startTicks = pids.map(readCpuTicks);
await sleep(Number(seconds) * 1000);
for (const [index, pid] of pids.entries()) {
  const ticks = readCpuTicks(pid) - startTicks[index];
  const percent = ticks / TICKS_PER_S / Number(seconds) * 100;
  console.log(JSON.stringify({
    pid: Number(pid),
    resident_mb: Number(readResidentMb(pid).toFixed(1)),
    core_percent: Number(percent.toFixed(2)),
  }));
}
