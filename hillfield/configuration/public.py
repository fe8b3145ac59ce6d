"""What users of the library import: templates and client accounts.

The package itself imports nothing: a node takes just what it needs.
"""

from hillfield.configuration.documents.files import (
    SECRETS_FILE,
    Configuration,
    read_configuration,
)
from hillfield.configuration.editing.editor import Authorship, Editor
from hillfield.configuration.editing.outcomes import Applied, EditFailure
from hillfield.configuration.entries import Entry
from hillfield.configuration.schema.accounts import ClientAccount, ServiceUse
from hillfield.configuration.schema.credentials import hash_secret
from hillfield.configuration.schema.problems import ConfigurationProblem
from hillfield.configuration.schema.templates import (
    AccountParameters,
    Bounds,
    Idempotency,
    RouteRule,
    Template,
)
from hillfield.configuration.serving.adoptions import (
    Adopted,
    Adoption,
    Invalid,
    Stale,
)
from hillfield.configuration.serving.digests import Digest, KeyRevision
from hillfield.configuration.serving.replica import Replica
from hillfield.configuration.serving.view import ConfigurationView
from hillfield.configuration.storage.keys import Keys

__all__ = (
    'SECRETS_FILE',
    'AccountParameters',
    'Adopted',
    'Adoption',
    'Applied',
    'Authorship',
    'Bounds',
    'ClientAccount',
    'Configuration',
    'ConfigurationProblem',
    'ConfigurationView',
    'Digest',
    'EditFailure',
    'Editor',
    'Entry',
    'Idempotency',
    'Invalid',
    'KeyRevision',
    'Keys',
    'Replica',
    'RouteRule',
    'ServiceUse',
    'Stale',
    'Template',
    'hash_secret',
    'read_configuration',
)
