"""Mapping file: assigns columns of the asset register to fields."""

import enum
import pathlib
from typing import Annotated, Any, Literal, Optional

import pydantic
from returns import result

from . import files
from . import problems
from . import schema
from . import yaml_nodes


class CellType(enum.Enum):
    """Type to which the text of a cell is converted."""

    TEXT = 'text'
    INTEGER = 'integer'
    NUMBER = 'number'
    BOOLEAN = 'boolean'
    LIST = 'list'


CELL_TYPES_BY_SECTION: dict[str, dict[str, CellType]] = {
    'services': {
        'name': CellType.TEXT,
        'kind': CellType.TEXT,
        'models': CellType.LIST,
        'path_prefixes': CellType.LIST,
    },
    'accounts': {
        'id': CellType.TEXT,
        'token_sha256': CellType.TEXT,
        'weight': CellType.NUMBER,
        'limits.requests_per_second': CellType.NUMBER,
        'limits.tokens_per_second': CellType.NUMBER,
        'limits.open_requests': CellType.INTEGER,
    },
    'operators': {'id': CellType.TEXT, 'token_sha256': CellType.TEXT},
    'hosts': {
        'id': CellType.TEXT,
        'data_centre': CellType.TEXT,
        'machine_class': CellType.TEXT,
        'pricing': CellType.TEXT,
        'price_per_hour': CellType.NUMBER,
    },
    'workers': {
        'id': CellType.TEXT,
        'host': CellType.TEXT,
        'service': CellType.TEXT,
        'ip': CellType.TEXT,
        'port': CellType.INTEGER,
        'slots': CellType.INTEGER,
        'checks_fencing': CellType.BOOLEAN,
        'checks_sender': CellType.BOOLEAN,
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
    """Origin of a field: a column or a constant.

    Attributes
    ----------
    column : str or None
        Column or YAML key of the register.
    value : str or None
        Constant text, instead of a column.
    values : dict
        Replacement of register values, such as `fixe: on_demand`; other
        values are kept.
    separator : str
        Separator of the items of a list in one cell.
    """

    column: Optional[str] = None
    value: Optional[str] = None
    values: dict[str, str] = {}
    separator: Annotated[str, pydantic.Field(min_length=1)] = ','
    decimal: Literal['.', ','] = '.'

    @pydantic.model_validator(mode='after')
    def _check_single_origin(self) -> 'Column':
        if (self.column is None) == (self.value is None):
            raise ValueError('give either column or value')
        return self


def _expand_column_name(value: Any) -> Any:
    return {'column': value} if isinstance(value, str) else value


class Source(schema.Entry):
    """A register file with entries of one section.

    Attributes
    ----------
    file : str
        Path, relative to the mapping file.
    under : str or None
        Top-level key of a YAML file that contains the list of entries.
    only : dict
        Filter: rows are read only if each of these columns has one of the
        listed values.
    repeated : bool
        Whether several rows may describe the same entry; they must agree.
    """

    file: Annotated[str, pydantic.Field(min_length=1)]
    entries: Literal['services', 'accounts', 'operators', 'hosts', 'workers']
    format: Optional[Literal['csv', 'yaml']] = None
    delimiter: Annotated[str, pydantic.Field(pattern=r'^[,;|\t]$')] = ','
    encoding: Literal['utf-8', 'latin-1', 'cp1252'] = 'utf-8'
    under: Optional[str] = None
    columns: dict[
        str, Annotated[Column, pydantic.BeforeValidator(_expand_column_name)]
    ]
    only: dict[str, tuple[str, ...]] = {}
    repeated: bool = False

    @pydantic.model_validator(mode='after')
    def _check_fields(self) -> 'Source':
        known_fields = CELL_TYPES_BY_SECTION[self.entries]
        unknown_fields = self.columns.keys() - known_fields.keys()
        missing_fields = required_fields(self.entries) - self.columns.keys()
        if unknown_fields:
            raise ValueError(
                f'unknown fields {", ".join(sorted(unknown_fields))}'
            )
        if missing_fields:
            raise ValueError(
                f'no column for {", ".join(sorted(missing_fields))}'
            )
        return self

    @property
    def is_yaml(self) -> bool:
        """Whether the file is YAML, by `format` or by its extension."""
        if self.format is not None:
            return self.format == 'yaml'
        return self.file.endswith(('.yaml', '.yml'))


class RegisterMapping(schema.Entry):
    """The register files from which the inventory is read."""

    sources: Annotated[tuple[Source, ...], pydantic.Field(min_length=1)]


def required_fields(section: str) -> frozenset[str]:
    """Return the fields that each entry of a section must have."""
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
    file: str, content: yaml_nodes.ParsedYaml
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
                for finding in schema.convert_errors(error)
            )
        )
