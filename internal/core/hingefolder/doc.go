// Package hingefolder accesses the folders in which processes keep durable state.
//
//  1. A write is durable once its file is synced, a creation, renaming or removal once
//     the folder is.
//  2. A process can read what isn't durable: what the process before had written when it was killed.
//     Whoever reads a file and relies on its content syncs the file and the folder first.
package hingefolder
