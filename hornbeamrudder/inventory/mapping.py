"""Mapping file: which columns of the asset register give which fields."""

import enum
import pathlib
from typing import Annotated, Any, Literal, Optional

import pydantic
from returns import result

from . import files
from . import problems
from . import schema
from . import yaml_nodes


class Kind(enum.Enum):
    """How the text of a cell is converted."""

    TEXT = 'text'
    INTEGER = 'integer'
    NUMBER = 'number'
    BOOLEAN = 'boolean'
    LIST = 'list'


KINDS_BY_SECTION: dict[str, dict[str, Kind]] = {
    'services': {
        'name': Kind.TEXT,
        'kind': Kind.TEXT,
        'models': Kind.LIST,
        'path_prefixes': Kind.LIST,
    },
    'accounts': {
        'id': Kind.TEXT,
        'token_sha256': Kind.TEXT,
        'weight': Kind.NUMBER,
        'limits.requests_per_second': Kind.NUMBER,
        'limits.tokens_per_second': Kind.NUMBER,
        'limits.open_requests': Kind.INTEGER,
    },
    'operators': {'id': Kind.TEXT, 'token_sha256': Kind.TEXT},
    'hosts': {
        'id': Kind.TEXT,
        'data_centre': Kind.TEXT,
        'machine_class': Kind.TEXT,
        'pricing': Kind.TEXT,
        'price_per_hour': Kind.NUMBER,
    },
    'workers': {
        'id': Kind.TEXT,
        'host': Kind.TEXT,
        'service': Kind.TEXT,
        'ip': Kind.TEXT,
        'port': Kind.INTEGER,
        'slots': Kind.INTEGER,
        'checks_fencing': Kind.BOOLEAN,
        'checks_sender': Kind.BOOLEAN,
    },
}
_MODEL_BY_SECTION: dict[str, type[pydantic.BaseModel]] = {
    'services': schema.Service,
    'accounts': schema.Account,
    'operators': schema.Operator,
    'hosts': schema.Host,
    'workers': schema.Worker,
}


class Column(schema.Entry):
    """Where a field comes from.

    Attributes
    ----------
    column : str or None
        Column or YAML key of the register.
    value : str or None
        Constant text, in place of a column.
    values : dict
        Translation of the register's words, such as `fixe: on_demand`;
        other words are kept.
    separator : str
        Between the parts of a list in one cell.
    """

    column: Optional[str] = None
    value: Optional[str] = None
    values: dict[str, str] = {}
    separator: Annotated[str, pydantic.Field(min_length=1)] = ','
    decimal: Literal['.', ','] = '.'

    @pydantic.model_validator(mode='after')
    def _one_origin(self) -> 'Column':
        if (self.column is None) == (self.value is None):
            raise ValueError('give either column or value')
        return self


def _plain_column(value: Any) -> Any:
    return {'column': value} if isinstance(value, str) else value


class Source(schema.Entry):
    """One register file that gives entries of one section.

    Attributes
    ----------
    file : str
        Path, relative to the mapping file.
    under : str or None
        Top-level key of a YAML file that holds the list of entries.
    only : dict
        Rows are taken only where each of these columns has one of the
        values given.
    repeated : bool
        Several rows may describe the same entry, if they agree.
    """

    file: Annotated[str, pydantic.Field(min_length=1)]
    entries: Literal['services', 'accounts', 'operators', 'hosts', 'workers']
    format: Optional[Literal['csv', 'yaml']] = None
    delimiter: Annotated[str, pydantic.Field(pattern=r'^[,;|\t]$')] = ','
    encoding: Literal['utf-8', 'latin-1', 'cp1252'] = 'utf-8'
    under: Optional[str] = None
    columns: dict[
        str, Annotated[Column, pydantic.BeforeValidator(_plain_column)]
    ]
    only: dict[str, tuple[str, ...]] = {}
    repeated: bool = False

    @pydantic.model_validator(mode='after')
    def _known_fields(self) -> 'Source':
        known = KINDS_BY_SECTION[self.entries]
        unknown = self.columns.keys() - known.keys()
        absent = required_fields(self.entries) - self.columns.keys()
        if unknown:
            raise ValueError(f'unknown fields {", ".join(sorted(unknown))}')
        if absent:
            raise ValueError(f'no column for {", ".join(sorted(absent))}')
        return self

    @property
    def is_yaml(self) -> bool:
        """Whether the file is YAML, by `format` or by its name."""
        if self.format is not None:
            return self.format == 'yaml'
        return self.file.endswith(('.yaml', '.yml'))


class RegisterMapping(schema.Entry):
    """All sources of the inventory."""

    sources: Annotated[tuple[Source, ...], pydantic.Field(min_length=1)]


def required_fields(section: str) -> frozenset[str]:
    """Fields that each entry of a section must have."""
    required = frozenset(
        name
        for name, field in _MODEL_BY_SECTION[section].model_fields.items()
        if field.is_required()
    )
    return required | {'host'} if section == 'workers' else required


def read(
    path: pathlib.Path,
) -> result.Result[RegisterMapping, files.Problems]:
    """Read a mapping file."""
    return files.read(path, 'utf-8', yaml_nodes.MAX_YAML_BYTES).bind(
        lambda text: parse(str(path), text)
    )


def parse(
    file: str, text: str
) -> result.Result[RegisterMapping, files.Problems]:
    """Parse the text of a mapping file."""
    return yaml_nodes.parse(file, text).bind(
        lambda content: _validate(file, content)
    )


def _validate(
    file: str, content: yaml_nodes.Content
) -> result.Result[RegisterMapping, files.Problems]:
    try:
        return result.Success(RegisterMapping.model_validate(content.value))
    except pydantic.ValidationError as error:
        positions = {
            path: problems.Position(file, line)
            for path, line in content.line_by_path.items()
        }
        return result.Failure(
            tuple(
                problems.locate(finding, positions)
                for finding in schema.shape_findings(error)
            )
        )
