#!/usr/bin/env python3
"""Scales a site file to another number of machines, for additional simulated days.

    bench/grow_site.py SITE.toml OUT.toml --machines 4000 [--limits] [--share X] [--memory X] [--sockets X]

Machines, initial jobs, job arrival rates, team limits, and the machines and jobs that a fault
affects are scaled in proportion to the number of machines. With --limits, the CPU share, memory
and connection limits of the controllers and the rate limits of the state service and the cloud are
scaled as well. --share, --memory and --sockets then set one of these limits to a fixed value. Keep
the output file outside the repository: site files belong to the users.
"""
import argparse
import re
import tomllib

# Fields to scale in every case, by the name of their table.
SCALED_FIELDS = {
    "capacity": {"count", "spot"},
    "machines": {"count"},
    "teams": {"cpus", "cpus_max", "gpus", "gpus_max"},
    "jobs": {"initial"},
}
# Fields to scale with --limits only, by the name of their table.
SCALED_LIMITS = {
    "nodes": {"cpu_share", "memory_mb", "max_connections"},
    "state": {"rps", "write_rps"},
    "cloud": {"rps"},
}
# Faults whose `count` is a number of machines or jobs. Other faults count controllers, whose number
# does not change.
SCALED_FAULT = re.compile(r'kind = "(machine_\w+|cancel_now)"')


def scale_number(text, factor):
    """Returns the number in `text` multiplied by `factor`, as text.

    A number without a decimal point is rounded to a whole number of at least 1; "0" stays "0".
    """
    value = float(text) * factor
    return f"{value:.4f}" if "." in text else str(max(1, round(value))) if text != "0" else "0"


def scale_lines(lines, factor, with_limits):
    """Yields the lines of a site file with their numbers multiplied by `factor`."""
    table = ""
    for line in lines:
        header = re.match(r"\[+([\w.]+)\]+", line)
        if header:
            table = header.group(1)
        field = re.match(r"(\w+) = ([\d.]+)\s*$", line)
        limits = SCALED_LIMITS.get(table, set()) if with_limits else set()
        scaled_fields = SCALED_FIELDS.get(table, set()) | limits
        if field and field.group(1) in scaled_fields:
            line = f"{field.group(1)} = {scale_number(field.group(2), factor)}"
        if table == "jobs" and line.startswith("arrivals"):
            line = re.sub(r"rate = ([\d.]+)", lambda m: f"rate = {scale_number(m.group(1), factor)}", line)
        if SCALED_FAULT.search(line):
            line = re.sub(r"count = (\d+)", lambda m: f"count = {scale_number(m.group(1), factor)}", line)
        yield line


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("site", help="site file to read (TOML)")
    parser.add_argument("out", help="scaled site file to write")
    parser.add_argument("--machines", type=int, required=True,
                        help="number of machines of the scaled site")
    parser.add_argument("--limits", action="store_true",
                        help="also scale the limits of the controllers, state service and cloud")
    parser.add_argument("--share", type=float, help="CPU share of a controller")
    parser.add_argument("--memory", type=float, help="memory of a controller in MB")
    parser.add_argument("--sockets", type=int, help="maximum number of connections of a controller")
    options = parser.parse_args()
    with open(options.site, "rb") as file:
        site = tomllib.load(file)
    current_machines = sum(entry["count"] + entry.get("spot", 0) for entry in site["capacity"])
    with open(options.site, encoding="utf-8") as file:
        original_lines = file.read().splitlines()
    factor = options.machines / current_machines
    lines = list(scale_lines(original_lines, factor, options.limits))
    overrides = {"cpu_share": options.share, "memory_mb": options.memory,
                 "max_connections": options.sockets}
    for field, value in overrides.items():
        if value is not None:
            lines = [re.sub(rf"^{field} = .*", f"{field} = {value}", line) for line in lines]
    # Appends the number of machines to the name of the site, which is in the first three lines.
    lines = [f'{line[:-1]}-{options.machines}"' if line.startswith("name = ") and index < 3 else line
             for index, line in enumerate(lines)]
    with open(options.out, "w", encoding="utf-8") as file:
        file.write("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
