//! Whole control planes in virtual time: replicas, members, a network with faults, and a checker that looks from outside.

#![allow(dead_code)]

pub mod checker;
pub mod network;
pub mod schedule;
pub mod scripted;
pub mod simulation;
