"""Speeds of single engines: lasting factors shared by gateways, and current factors."""

from .engine_factors import EngineFactor, EngineSpeeds, begin_speeds
from .own_factors import OwnFactors

__all__ = ["EngineFactor", "EngineSpeeds", "OwnFactors", "begin_speeds"]
