"""The pydantic models of the settings. Times in milliseconds, sizes in bytes. Unknown fields are errors."""

from brassweir.config.model.as2 import ClientModel, IdentityModel, PartnerModel, RuleModel
from brassweir.config.model.base import Address, As2Name, CipherName, Digest, Ms, MsOrZero, Strict, Url
from brassweir.config.model.config import Config
from brassweir.config.model.copy import ControlConfig, CopyConfig
from brassweir.config.model.forward import ForwardModel, ForwardSourceModel, TagRuleModel, UserModel
from brassweir.config.model.listing import EndpointList, EndpointModel
from brassweir.config.model.messages import ClassModel, KindModel
from brassweir.config.model.peers import AgreedModel, ConfigurationModel, CopiesFile, CopyModel, PeersModel
from brassweir.config.model.region import RegionModel
from brassweir.config.model.sender import LimitsModel, ProcessModel, SenderModel

__all__ = [
    "Address",
    "AgreedModel",
    "As2Name",
    "CipherName",
    "ClassModel",
    "ClientModel",
    "Config",
    "ConfigurationModel",
    "ControlConfig",
    "CopiesFile",
    "CopyConfig",
    "CopyModel",
    "Digest",
    "EndpointList",
    "EndpointModel",
    "ForwardModel",
    "ForwardSourceModel",
    "IdentityModel",
    "KindModel",
    "LimitsModel",
    "Ms",
    "MsOrZero",
    "PartnerModel",
    "PeersModel",
    "ProcessModel",
    "RegionModel",
    "RuleModel",
    "SenderModel",
    "Strict",
    "TagRuleModel",
    "Url",
    "UserModel",
]
