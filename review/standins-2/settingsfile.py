"""Renders the settings templates of the deploy file, as the platform does."""

import json
import re
import tomllib

TAG = re.compile(r"\{\{([#^/]?)([^{}]*)\}\}")
NAMED = re.compile(r"\{\{([#^])([^{}]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)


def find(fields, name, entry):
    """Returns the value of a dotted name, None if there is none."""
    if name == ".":
        return entry
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            index = int(part)
            value = value[index] if index < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def to_text(value):
    """Returns a value as the template shows it."""
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(to_text(each) for each in value)
    if isinstance(value, dict):
        return json.dumps(value)
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


def render(template, fields, entry=None):
    """Returns a template with its sections and values filled in."""

    def section(match):
        kind, name, body = match.groups()
        value = find(fields, name, entry)
        is_present = value is not None and value is not False
        if kind == "^":
            return "" if is_present else render(body, fields, entry)
        if not is_present:
            return ""
        if isinstance(value, list):
            return "".join(render(body, fields, each) for each in value)
        return render(body, fields, value)

    def placeholder(match):
        return to_text(find(fields, match[2], entry))

    return TAG.sub(placeholder, NAMED.sub(section, template))


def load_roles(root):
    """Returns the roles of the deploy file, by name."""
    return tomllib.loads((root / "deploy" / "system.toml").read_text())["roles"]
