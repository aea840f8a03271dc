"""Authentication of callers by bearer token."""

from returns import result

from ..core import errors
from ..core import hashing
from ..core import types
from ..inventory import schema

BEARER = 'Bearer '
MAX_TOKEN_CHARACTERS = 512


def authenticate(
    document: schema.Document, authorization: str
) -> result.Result[types.Account, errors.Failure]:
    """Find the account of an `Authorization` header."""
    token = authorization.removeprefix(BEARER)
    if (
        not authorization.startswith(BEARER)
        or not 0 < len(token) <= MAX_TOKEN_CHARACTERS
    ):
        return _refused('a bearer token is required')
    account = schema.account_by_token_digest(
        document, hashing.digest(token.encode())
    )
    if account is None:
        return _refused('the token belongs to no account')
    return result.Success(account)


def _refused(
    detail: str,
) -> result.Result[types.Account, errors.Failure]:
    return result.Failure(
        errors.Failure(
            errors.FailureKind.UNAUTHORIZED,
            errors.Step.AUTHENTICATE,
            '',
            detail,
        )
    )
