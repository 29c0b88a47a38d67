//! Simulation of whole control planes in virtual time: replicas, members, a faulty network, and an external checker.

#![allow(dead_code)]

pub mod checker;
pub mod network;
pub mod schedule;
pub mod scripted;
pub mod simulation;
