"""Client of the operators' HTTP interface."""

import http.client
import os
from dataclasses import dataclass

import msgspec

from bergamotshore.exceptions import OperatorCallError
from bergamotshore.utils.addresses import split_address

TIMEOUT_SECONDS = 15.0
TOKEN_VARIABLE = "BERGAMOTSHORE_TOKEN"
ADDRESS_VARIABLE = "BERGAMOTSHORE_OPERATORS"


@dataclass(frozen=True, slots=True)
class OperatorClient:
    """HTTP client of one entry.

    :param address: Operators' address of the entry, as host:port.
    :param token: Access token of the team.
    """

    address: str
    token: str

    def call(self, method, path, body=b""):
        """Send an HTTP request and return the decoded JSON response.

        :raises OperatorCallError: when the entry refuses the call or does not respond.
        """
        host, port = split_address(self.address)
        connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_SECONDS)
        headers = {"Authorization": f"Bearer {self.token}"}
        try:
            connection.request(method, path, body=body, headers=headers)
            response = connection.getresponse()
            content = response.read()
        except (OSError, http.client.HTTPException) as error:
            raise OperatorCallError(0, repr(error)) from error
        finally:
            connection.close()
        answer = _decode(content)
        if response.status != 200:
            raise OperatorCallError(response.status, answer)
        return answer


def _decode(content):
    try:
        return msgspec.json.decode(content)
    except msgspec.MsgspecError as error:
        raise OperatorCallError(0, f"the response is not JSON: {error}") from error


def build_client(options):
    """Return a client of the entry that the options name.

    :param options: Parsed arguments with ``operators`` and ``token``.
    """
    return OperatorClient(options.operators, options.token)


def add_arguments(parser):
    """Add the arguments of all commands that call an entry."""
    parser.add_argument(
        "--operators",
        default=os.environ.get(ADDRESS_VARIABLE, "127.0.0.1:8101"),
        help=f"operators' address of an entry (default: ${ADDRESS_VARIABLE})",
    )
    parser.add_argument(
        "--token",
        default=os.environ.get(TOKEN_VARIABLE, ""),
        help=f"access token of the team (default: ${TOKEN_VARIABLE})",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
