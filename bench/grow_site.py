#!/usr/bin/env python3
"""Writes a copy of a site file with another number of machines, for days of one's own.

    bench/grow_site.py SITE.toml OUT.toml --machines 4000 [--limits] [--share X] [--memory X] [--sockets X]

Machines, jobs, team limits and struck machines grow in proportion. With --limits the controllers'
processor, memory and sockets, and the rates of the state service and the cloud, grow with them;
--share, --memory and --sockets then set one of these to a value of its own. The result belongs
outside the repository: site files are the users' own.
"""
import argparse
import re
import tomllib

# Fields that grow, by the table that they stand in.
COUNTED = {
    "capacity": {"count", "spot"},
    "machines": {"count"},
    "teams": {"cpus", "cpus_max", "gpus", "gpus_max"},
    "jobs": {"initial"},
}
LIMITS = {
    "nodes": {"cpu_share", "memory_mb", "max_connections"},
    "state": {"rps", "write_rps"},
    "cloud": {"rps"},
}
# Troubles whose `count` is one of machines or jobs, not of controllers.
STRUCK = re.compile(r'kind = "(machine_\w+|cancel_now)"')


def scaled(text, factor):
    """A number of the site file, times the factor; whole numbers stay whole."""
    value = float(text) * factor
    return f"{value:.4f}" if "." in text else str(max(1, round(value))) if text != "0" else "0"


def grow(lines, factor, with_limits):
    table = ""
    for line in lines:
        header = re.match(r"\[+([\w.]+)\]+", line)
        if header:
            table = header.group(1)
        field = re.match(r"(\w+) = ([\d.]+)\s*$", line)
        fields = COUNTED.get(table, set()) | (LIMITS.get(table, set()) if with_limits else set())
        if field and field.group(1) in fields:
            line = f"{field.group(1)} = {scaled(field.group(2), factor)}"
        if table == "jobs" and line.startswith("arrivals"):
            line = re.sub(r"rate = ([\d.]+)", lambda m: f"rate = {scaled(m.group(1), factor)}", line)
        if STRUCK.search(line):
            line = re.sub(r"count = (\d+)", lambda m: f"count = {scaled(m.group(1), factor)}", line)
        yield line


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("site")
    parser.add_argument("out")
    parser.add_argument("--machines", type=int, required=True)
    parser.add_argument("--limits", action="store_true")
    parser.add_argument("--share", type=float)
    parser.add_argument("--memory", type=float)
    parser.add_argument("--sockets", type=int)
    options = parser.parse_args()
    with open(options.site, "rb") as file:
        site = tomllib.load(file)
    now = sum(entry["count"] + entry.get("spot", 0) for entry in site["capacity"])
    with open(options.site, encoding="utf-8") as file:
        lines = list(grow(file.read().splitlines(), options.machines / now, options.limits))
    own = {"cpu_share": options.share, "memory_mb": options.memory, "max_connections": options.sockets}
    for name, value in own.items():
        if value is not None:
            lines = [re.sub(rf"^{name} = .*", f"{name} = {value}", line) for line in lines]
    lines = [f'{line[:-1]}-{options.machines}"' if line.startswith("name = ") and n < 3 else line
             for n, line in enumerate(lines)]
    with open(options.out, "w", encoding="utf-8") as file:
        file.write("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
