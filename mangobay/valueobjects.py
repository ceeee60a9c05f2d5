"""Base classes of the generated data classes.

`dataclasses` generates the constructor, comparison and representation of each
class with `exec`, which would take most of the time of importing the generated
modules.
"""

import dataclasses
import operator
import typing


class Value:
    """A value object: instances of one class with equal fields are equal.

    Attributes:
      fields_of: returns the values of all fields; each subclass sets its own.
    """

    __slots__ = ()
    fields_of: typing.ClassVar[typing.Callable] = operator.attrgetter(
        "__class__"
    )

    def __eq__(self, other):
        if other.__class__ is not self.__class__:
            return NotImplemented
        return self.fields_of(self) == self.fields_of(other)

    def __repr__(self):
        parts = [f"{name}={getattr(self, name)!r}" for name in self.__slots__]
        return f"{type(self).__name__}({', '.join(parts)})"


class FrozenValue(Value):
    """An immutable, hashable value object."""

    __slots__ = ()

    def __setattr__(self, name, value):
        raise dataclasses.FrozenInstanceError(f"cannot assign to {name!r}")

    def __delattr__(self, name):
        raise dataclasses.FrozenInstanceError(f"cannot delete {name!r}")

    def __hash__(self):
        return hash(self.fields_of(self))
