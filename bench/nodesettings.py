"""Settings of a node that are not read from a file."""

from mangobay.generated import settings


def section(name: str, **changes):
    """Returns one section of the node's settings: defaults and changes."""
    made, options = settings.NODE_SECTIONS[name]
    values = {
        option.name: option.parse(option.default)
        for option in options
        if option.default is not None
    }
    return made(**(values | changes))
